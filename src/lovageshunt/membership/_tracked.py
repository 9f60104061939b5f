"""One VM of a roster, and what speaks for and against it."""

from typing import Final

from lovageshunt.charts import Life, load_chart
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import Announcement
from lovageshunt.membership._vms import ListedVm, VmState

_LEAVING: Final = 'leaving'
_SUSPECT_STATES: Final = frozenset(('suspect', 'down'))
_LISTED_STATES: Final = frozenset((VmState.LIVE, VmState.LEAVING))


class Tracked:
    """A member, its way through the target's chart and the signs of it.

    ``listed`` is what the list last said of it, or ``None``.
    ``passes_over_leaving`` holds while the list still shows the leave of an
    earlier incarnation. ``contender`` is a lesser incarnation that answered
    once. ``probe_at`` is when it is to be probed, or ``None``.
    """

    __slots__ = (
        'member',
        'life',
        'listed',
        'passes_over_leaving',
        'contender',
        'silences',
        'probe_at',
        'left_at',
    )

    def __init__(self, member: Member, listed: VmState | None) -> None:
        """Begin as a VM that was never heard."""
        self.member = member
        self.life = Life(load_chart('target'))
        self.listed = listed
        self.passes_over_leaving = False
        self.contender = ''
        self.silences = 0
        self.probe_at: float | None = None
        self.left_at: float = 0

    @property
    def is_leaving(self) -> bool:
        """Return whether it is to get no new calls."""
        return self.life.state == _LEAVING

    @property
    def seems_silent(self) -> bool:
        """Return whether it did not answer when it was last asked."""
        return self.life.state in _SUSPECT_STATES

    @property
    def last_sign(self) -> float:
        """Return when a leaving VM was last heard of, in seconds."""
        left_at: float = self.left_at
        return max(left_at, self.member.last_heard)

    @property
    def is_gone(self) -> bool:
        """Return whether a silent VM may be dropped.

        One that the list still names is kept, suspect: the list may be right
        and the path to the VM at fault.
        """
        return self.silences > 1 and self.listed not in _LISTED_STATES

    def leave(self, now: float) -> bool:
        """Begin to leave; return whether it was not leaving before."""
        if not self.life.step('leave'):
            return False
        self.left_at = now
        self.probe_at = None
        return True

    def restart(self, incarnation: str, since: float) -> None:
        """Take on a new incarnation, which was there at ``since``.

        The first word of a node does not take back a leave that the list
        shows, unless the node started after it was seen.
        """
        is_first = not self.member.incarnation
        self.member.incarnation = incarnation
        self.contender = ''
        if is_first and not (self.is_leaving and since > self.left_at):
            return
        self.passes_over_leaving = self.listed is VmState.LEAVING
        self.silences = 0
        self.life.step('start')

    def move(self, announcement: Announcement) -> None:
        """Take service, place and addresses from the node's own word."""
        self.member.service = announcement.service
        self.member.failure_domain = announcement.failure_domain
        self.member.region = announcement.region
        self.member.address = announcement.address
        self.member.admin_address = announcement.admin_address

    def accepts(self, incarnation: str) -> bool:
        """Return whether an incarnation that answered is the present one.

        A lesser one is taken only when it answers twice in a row: the first
        answer may have been under way since before a restart; a clock that
        went back makes the second one too.
        """
        if incarnation >= self.member.incarnation:
            return True
        if self.contender == incarnation:
            return True
        self.contender = incarnation
        return False

    def forget_signs(self) -> None:
        """Drop what was seen of it before a pause; a leave is kept."""
        self.life.step('forget')
        self.member.last_heard = -1
        self.silences = 0
        self.probe_at = None
        self.contender = ''


def tracked_from_list(vm: ListedVm) -> Tracked:
    """Return a VM that is known from the list alone."""
    return Tracked(Member(**vm.facts()), vm.state)


def tracked_from_word(announcement: Announcement) -> Tracked:
    """Return a VM that is known from its own word alone."""
    return Tracked(Member(**announcement.facts()), listed=None)
