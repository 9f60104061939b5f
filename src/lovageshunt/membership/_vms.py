"""The list of VMs as the platform publishes it."""

from enum import StrEnum

from lovageshunt._record import Record


class VmState(StrEnum):
    """What the platform says of a VM; ``GONE`` means it is not listed."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class ListedVm(Record):
    """One entry of the list.

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
        'state',
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
        state: VmState = VmState.LIVE,
    ) -> None:
        """Take every field by name."""
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.address = address
        self.admin_address = admin_address
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
