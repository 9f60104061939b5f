"""The events that membership decisions handle."""

from lovageshunt._record import Record
from lovageshunt.membership._messages import (
    Announcement,
    Bulletin,
    MembershipDigest,
    VmListChange,
)
from lovageshunt.membership._vms import VmList


class VmListReceived(Record):
    """This node received the platform's VM list."""

    __slots__ = ('vm_list',)

    def __init__(self, vm_list: VmList) -> None:
        self.vm_list = vm_list


class VmListReadFailed(Record):
    """The platform did not answer this node's read or watch."""

    __slots__ = ()


class VmListChangeReceived(Record):
    """A peer forwarded a change of the VM list that a reader saw."""

    __slots__ = ('change',)

    def __init__(self, change: VmListChange) -> None:
        self.change = change


class PeerAnnounced(Record):
    """A node's announcement arrived, directly or forwarded by a peer."""

    __slots__ = ('announcement',)

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement


class BulletinReceived(Record):
    """A bulletin arrived from a peer, unsolicited or in reply to a digest."""

    __slots__ = ('bulletin',)

    def __init__(self, bulletin: Bulletin) -> None:
        self.bulletin = bulletin


class PeerSilent(Record):
    """A call, an exchange or a probe to ``name`` was not answered in time."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        self.name = name


class PeerAnswered(Record):
    """A peer answered a call, an exchange or a probe.

    ``incarnation`` is empty if the answer did not contain it. ``is_leaving``:
    the peer refused because it is leaving.
    """

    __slots__ = ('name', 'incarnation', 'is_leaving')

    def __init__(
        self,
        name: str,
        incarnation: str = '',
        *,
        is_leaving: bool = False,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.is_leaving = is_leaving


class DigestReceived(Record):
    """A peer's digest arrived."""

    __slots__ = ('digest',)

    def __init__(self, digest: MembershipDigest) -> None:
        self.digest = digest


class MembershipTicked(Record):
    """The timer fired; it does so a few times per second."""

    __slots__ = ()


class LeaveStarted(Record):
    """This node started to leave."""

    __slots__ = ()


class PauseEnded(Record):
    """The process was paused; what it observed before may be outdated."""

    __slots__ = ()
