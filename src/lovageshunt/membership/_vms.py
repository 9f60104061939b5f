"""The list of VMs that the platform publishes."""

from enum import StrEnum
from typing import NotRequired, TypedDict, Unpack

from lovageshunt._record import Record


class VmState(StrEnum):
    """The state of a VM in the list; ``GONE`` means that it is not listed."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class VmAttributeFields(TypedDict):
    """The keyword arguments of ``VmAttributes``, for its subclasses."""

    name: str
    service: str
    failure_domain: str
    region: str
    address: str
    admin_address: NotRequired[str]


class VmAttributes(Record):
    """Attributes that do not change during the life of a VM.

    ``address`` is where the node accepts calls, ``admin_address`` where it
    accepts administration and exchange; both are "ip:port".
    """

    __slots__ = (
        'name',
        'service',
        'failure_domain',
        'region',
        'address',
        'admin_address',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        failure_domain: str,
        region: str,
        address: str,
        admin_address: str = '',
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.address = address
        self.admin_address = admin_address

    def attributes(self) -> VmAttributeFields:
        """Return these fields, to construct another record of the same VM."""
        return {
            'name': self.name,
            'service': self.service,
            'failure_domain': self.failure_domain,
            'region': self.region,
            'address': self.address,
            'admin_address': self.admin_address,
        }


class ListedVm(VmAttributes):
    """An entry of the VM list."""

    __slots__ = ('state',)

    def __init__(
        self,
        *,
        state: VmState = VmState.LIVE,
        **attributes: Unpack[VmAttributeFields],
    ) -> None:
        super().__init__(**attributes)
        self.state = state


class VmList(Record):
    """The VM list at one revision of the platform.

    The list lags behind: it may contain dead VMs and omit new ones, and its
    revision may go back after a restart of the platform.
    """

    __slots__ = ('revision', 'vms')

    def __init__(self, *, revision: int, vms: list[ListedVm]) -> None:
        self.revision = revision
        self.vms = vms
