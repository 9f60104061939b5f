"""What a view of the members is told."""

from lovageshunt._record import Record
from lovageshunt.membership._messages import (
    Announcement,
    Bulletin,
    MembershipDigest,
    VmListChange,
)
from lovageshunt.membership._vms import VmList


class VmListReceived(Record):
    """This node read the platform's list."""

    __slots__ = ('vm_list',)

    def __init__(self, vm_list: VmList) -> None:
        """Take the list."""
        self.vm_list = vm_list


class VmListReadFailed(Record):
    """The platform did not answer this node's read or watch."""

    __slots__ = ()


class VmListChangeReceived(Record):
    """A peer passed on what a reader saw change in the platform's list."""

    __slots__ = ('news',)

    def __init__(self, news: VmListChange) -> None:
        """Take the news."""
        self.news = news


class PeerAnnounced(Record):
    """A node's word about itself arrived, from it or passed on by a peer."""

    __slots__ = ('announcement',)

    def __init__(self, announcement: Announcement) -> None:
        """Take the announcement."""
        self.announcement = announcement


class BulletinReceived(Record):
    """A peer's bulletin arrived, of itself or in answer to a digest."""

    __slots__ = ('bulletin',)

    def __init__(self, bulletin: Bulletin) -> None:
        """Take the bulletin."""
        self.bulletin = bulletin


class PeerSilent(Record):
    """A call, an exchange or a probe to a peer had no answer in time."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        """Name the peer."""
        self.name = name


class PeerAnswered(Record):
    """A peer answered a call, an exchange or a probe.

    ``incarnation`` is empty when the answer did not tell it. ``is_leaving``
    holds when the peer refused because it is leaving.
    """

    __slots__ = ('name', 'incarnation', 'is_leaving')

    def __init__(
        self,
        name: str,
        incarnation: str = '',
        *,
        is_leaving: bool = False,
    ) -> None:
        """Name the peer and the incarnation that answered."""
        self.name = name
        self.incarnation = incarnation
        self.is_leaving = is_leaving


class DigestReceived(Record):
    """A peer's digest arrived."""

    __slots__ = ('digest',)

    def __init__(self, digest: MembershipDigest) -> None:
        """Take the digest."""
        self.digest = digest


class MembershipTicked(Record):
    """The timer turned; a few times a second."""

    __slots__ = ()


class LeaveStarted(Record):
    """This node began to leave."""

    __slots__ = ()


class PauseEnded(Record):
    """The process was paused and what it saw before may have changed."""

    __slots__ = ()
