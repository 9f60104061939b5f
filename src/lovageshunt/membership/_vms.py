"""The list of VMs as the platform publishes it."""

from enum import StrEnum
from typing import NotRequired, TypedDict, Unpack

from lovageshunt._record import Record


class VmState(StrEnum):
    """What the platform says of a VM; ``GONE`` means it is not listed."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class VmFactFields(TypedDict):
    """The fields of ``VmFacts``, for those that have more."""

    name: str
    service: str
    failure_domain: str
    region: str
    address: str
    admin_address: NotRequired[str]


class VmFacts(Record):
    """What does not change in a VM's life.

    ``address`` is where the node takes calls and ``admin_address`` where it
    takes administration and exchange, each "ip:port".
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
        """Take every field by name."""
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.address = address
        self.admin_address = admin_address

    def facts(self) -> VmFactFields:
        """Return these fields, for another record of the same VM."""
        return {
            'name': self.name,
            'service': self.service,
            'failure_domain': self.failure_domain,
            'region': self.region,
            'address': self.address,
            'admin_address': self.admin_address,
        }


class ListedVm(VmFacts):
    """One entry of the list."""

    __slots__ = ('state',)

    def __init__(
        self,
        *,
        state: VmState = VmState.LIVE,
        **facts: Unpack[VmFactFields],
    ) -> None:
        """Take every field by name."""
        super().__init__(**facts)
        self.state = state


class VmList(Record):
    """The whole list at one of the platform's revisions.

    The list lags: it names the dead, omits the new, and its revision may go
    back after the platform restarts.
    """

    __slots__ = ('revision', 'vms')

    def __init__(self, *, revision: int, vms: list[ListedVm]) -> None:
        """Take the revision and the entries."""
        self.revision = revision
        self.vms = vms
