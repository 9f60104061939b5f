"""Rules that operators accept, their versions and the one in force."""

from lovageshunt.rules._codec import (
    MAX_DOCUMENT_BYTES,
    decode_document,
    decode_parts,
    encode_document,
    encode_parts,
)
from lovageshunt.rules._defaults import DEFAULT_KIND, default_kind
from lovageshunt.rules._document import (
    ANY_METHOD,
    KindRule,
    RulesDocument,
    ServiceRules,
)
from lovageshunt.rules._in_force import (
    Conflict,
    Offer,
    RulesInForce,
    Verdict,
)
from lovageshunt.rules._sheet import Sheet, parse_sheet
from lovageshunt.rules._sheet_fault import SheetFault
from lovageshunt.rules._version import (
    Manifest,
    Version,
    manifest_of,
    version_of,
)

__all__ = [
    'ANY_METHOD',
    'DEFAULT_KIND',
    'MAX_DOCUMENT_BYTES',
    'Conflict',
    'KindRule',
    'Manifest',
    'Offer',
    'RulesDocument',
    'RulesInForce',
    'ServiceRules',
    'Sheet',
    'SheetFault',
    'Verdict',
    'Version',
    'decode_document',
    'decode_parts',
    'default_kind',
    'encode_document',
    'encode_parts',
    'manifest_of',
    'parse_sheet',
    'version_of',
]
