"""Request rules: documents, versions, gossip between nodes and sheets."""

from lovageshunt.rules._codec import (
    MAX_DOCUMENT_BYTES,
    decode_document,
    decode_parts,
    encode_document,
    encode_parts,
)
from lovageshunt.rules._conflicts import Conflict
from lovageshunt.rules._defaults import DEFAULT_KIND, default_rule
from lovageshunt.rules._document import (
    ANY_METHOD,
    KindRule,
    RulesDocument,
    ServiceRules,
)
from lovageshunt.rules._events import (
    DocumentRead,
    MessageReceived,
    ReadDocument,
    RulesChanged,
    RulesGossipAction,
    RulesGossipEvent,
    RulesGossipTicked,
    SendMessage,
)
from lovageshunt.rules._gossip import RulesGossip
from lovageshunt.rules._gossip_settings import RulesGossipSettings
from lovageshunt.rules._in_force import OfferResult, RulesInForce, Verdict
from lovageshunt.rules._messages import (
    ManifestAsked,
    ManifestTold,
    Message,
    PartsAsked,
    PartsTold,
    VersionTold,
)
from lovageshunt.rules._sheet import Sheet, parse_sheet
from lovageshunt.rules._sheet_fault import SheetFault
from lovageshunt.rules._version import (
    Manifest,
    Version,
    manifest_of,
    version_of,
)
from lovageshunt.rules._wire import decode_message, encode_message

__all__ = [
    'ANY_METHOD',
    'DEFAULT_KIND',
    'MAX_DOCUMENT_BYTES',
    'Conflict',
    'DocumentRead',
    'KindRule',
    'Manifest',
    'ManifestAsked',
    'ManifestTold',
    'Message',
    'MessageReceived',
    'ReadDocument',
    'OfferResult',
    'PartsAsked',
    'PartsTold',
    'RulesChanged',
    'RulesDocument',
    'RulesInForce',
    'SendMessage',
    'ServiceRules',
    'Sheet',
    'SheetFault',
    'RulesGossip',
    'RulesGossipAction',
    'RulesGossipEvent',
    'RulesGossipSettings',
    'RulesGossipTicked',
    'Verdict',
    'Version',
    'VersionTold',
    'decode_document',
    'decode_message',
    'decode_parts',
    'default_rule',
    'encode_document',
    'encode_parts',
    'encode_message',
    'manifest_of',
    'parse_sheet',
    'version_of',
]
