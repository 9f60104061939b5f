"""What a view of the members asks its daemon to do."""

from lovageshunt._record import Record
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import (
    Announcement,
    Bulletin,
    MembershipDigest,
    VmListChange,
)
from lovageshunt.membership._vms import ListedVm


class Peer(Record):
    """Where another node takes exchange: its name and "ip:port"."""

    __slots__ = ('name', 'address', 'failure_domain')

    def __init__(self, *, name: str, address: str, failure_domain: str) -> None:
        """Take every field by name."""
        self.name = name
        self.address = address
        self.failure_domain = failure_domain


class SendBulletin(Record):
    """Send a bulletin to a peer."""

    __slots__ = ('peer', 'bulletin')

    def __init__(self, peer: Peer, bulletin: Bulletin) -> None:
        """Take the peer and what to tell it."""
        self.peer = peer
        self.bulletin = bulletin


class SendDigest(Record):
    """Send a digest to a peer; it answers with a bulletin of what is lacked."""

    __slots__ = ('peer', 'digest')

    def __init__(self, peer: Peer, digest: MembershipDigest) -> None:
        """Take the peer and the digest."""
        self.peer = peer
        self.digest = digest


class Probe(Record):
    """Ask a peer for a sign; report ``PeerAnswered`` or ``PeerSilent``."""

    __slots__ = ('name', 'address')

    def __init__(self, name: str, address: str) -> None:
        """Name the peer and its address for calls."""
        self.name = name
        self.address = address


class MembersChanged(Record):
    """The members of a service that may get calls have changed."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        """Name the service."""
        self.service = service


class OwnLeaveListed(Record):
    """The platform lists this node's VM as leaving; begin to leave."""

    __slots__ = ()


class ReadVmList(Record):
    """Read or watch the platform's list once, and report how it went."""

    __slots__ = ('is_watch',)

    def __init__(self, *, is_watch: bool) -> None:
        """Tell whether to wait for a change after what was last read."""
        self.is_watch = is_watch


def peer_of(vm: ListedVm | VmListChange | Announcement | Member) -> Peer:
    """Return where a node takes exchange."""
    return Peer(
        name=vm.name,
        address=vm.admin_address or vm.address,
        failure_domain=vm.failure_domain,
    )
