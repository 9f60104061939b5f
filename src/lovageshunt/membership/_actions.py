"""The actions that membership decisions request from the daemon."""

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
    """A node to exchange messages with.

    ``address`` is "ip:port" of its exchange endpoint; ``failure_domain`` is
    empty when it is not known.
    """

    __slots__ = ('name', 'address', 'failure_domain')

    def __init__(self, *, name: str, address: str, failure_domain: str) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain


class SendBulletin(Record):
    """Send a bulletin to a peer."""

    __slots__ = ('peer', 'bulletin')

    def __init__(self, peer: Peer, bulletin: Bulletin) -> None:
        self.peer = peer
        self.bulletin = bulletin


class SendDigest(Record):
    """Send a digest to a peer, which replies with what the sender lacks."""

    __slots__ = ('peer', 'digest')

    def __init__(self, peer: Peer, digest: MembershipDigest) -> None:
        self.peer = peer
        self.digest = digest


class Probe(Record):
    """Probe a peer; report ``PeerAnswered`` or ``PeerSilent``.

    ``address`` is the "ip:port" at which the peer accepts calls.
    """

    __slots__ = ('name', 'address')

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address


class MembersChanged(Record):
    """The members of ``service`` that may receive calls have changed."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        self.service = service


class OwnLeaveListed(Record):
    """The platform lists this node's VM as leaving; start leaving."""

    __slots__ = ()


class ReadVmList(Record):
    """Read the platform's VM list once and report the outcome.

    ``is_watch``: wait for a revision newer than the last one read.
    """

    __slots__ = ('is_watch',)

    def __init__(self, *, is_watch: bool) -> None:
        self.is_watch = is_watch


def peer_of(vm: ListedVm | VmListChange | Announcement | Member) -> Peer:
    """Return the exchange peer for a VM.

    The call address is used if the VM has no admin address.
    """
    return Peer(
        name=vm.name,
        address=vm.admin_address or vm.address,
        failure_domain=vm.failure_domain,
    )
