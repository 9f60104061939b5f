"""Decodes the values that the platform publishes."""

from typing import Any, Final

import orjson
from expression import Error, Ok, Result

from lovageshunt.errors import LovageshuntError, MalformedMembershipError
from lovageshunt.membership import ListedVm, VmList, VmState
from lovageshunt.published import PublishedValue
from lovageshunt.rules import DocumentRead, decode_document, version_of

_VM_FIELDS: Final = (
    'name',
    'service',
    'failure_domain',
    'region',
    'address',
    'admin_address',
)


def vm_list_of(
    published: PublishedValue,
) -> Result[VmList, MalformedMembershipError]:
    """Decode the list of VMs in a published value."""
    if not isinstance(published.document, list):
        return Error(
            MalformedMembershipError('the list of VMs is no JSON array')
        )
    try:
        vms = [_vm_of(fields) for fields in published.document]
    except (LookupError, TypeError, ValueError) as error:
        return Error(MalformedMembershipError(repr(error)))
    return Ok(VmList(revision=published.revision, vms=vms))


def document_of(
    published: PublishedValue,
) -> Result[DocumentRead, LovageshuntError]:
    """Decode the rules in a published value, with their version."""
    decoded = decode_document(orjson.dumps(published.document))
    if decoded.is_error():
        return Error(decoded.error)
    version = version_of(decoded.ok, published.revision)
    return Ok(DocumentRead(version=version, document=decoded.ok))


def _vm_of(fields: dict[str, Any]) -> ListedVm:
    known = {name: str(fields.get(name, '')) for name in _VM_FIELDS}
    if not known['name'] or not known['address']:
        raise ValueError('a VM has no name or no address')
    return ListedVm(state=VmState(fields.get('state', 'live')), **known)
