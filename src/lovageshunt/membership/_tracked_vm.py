"""A tracked VM: its lifecycle state and the observations behind it."""

from typing import Final

from lovageshunt.charts import ChartInstance, load_chart
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import Announcement
from lovageshunt.membership._vms import ListedVm, VmState

_LEAVING: Final = 'leaving'
_SUSPECT_STATES: Final = frozenset(('suspect', 'down'))
_LISTED_STATES: Final = frozenset((VmState.LIVE, VmState.LEAVING))


class TrackedVm:
    """A member, its state in the ``target`` chart and what was observed of it.

    ``listed``: its state in the last list, ``None`` if it was never listed.
    ``ignores_listed_leave``: the list still shows the leave of an earlier
    incarnation. ``candidate_incarnation``: a lower incarnation that has
    answered once, or empty. ``silence_count``: unanswered requests since the
    last answer. ``probe_at``: when to probe, in seconds, or ``None``.
    ``left_at``: when the leave was seen, in seconds, 0 before.
    """

    __slots__ = (
        'member',
        'lifecycle',
        'listed',
        'ignores_listed_leave',
        'candidate_incarnation',
        'silence_count',
        'probe_at',
        'left_at',
    )

    def __init__(self, member: Member, listed: VmState | None) -> None:
        self.member = member
        self.lifecycle = ChartInstance(load_chart('target'))
        self.listed = listed
        self.ignores_listed_leave = False
        self.candidate_incarnation = ''
        self.silence_count = 0
        self.probe_at: float | None = None
        self.left_at: float = 0

    @property
    def is_leaving(self) -> bool:
        """Whether it must not receive new calls."""
        return self.lifecycle.state == _LEAVING

    @property
    def is_silent(self) -> bool:
        """Whether the most recent request to it was not answered."""
        return self.lifecycle.state in _SUSPECT_STATES

    @property
    def last_seen_at(self) -> float:
        """When a leaving VM last left or answered, in seconds."""
        left_at: float = self.left_at
        return max(left_at, self.member.last_heard)

    @property
    def is_droppable(self) -> bool:
        """Whether a silent VM may be dropped.

        A VM that is still listed is kept as a suspect: the list may be right
        and the network path to the VM at fault.
        """
        return self.silence_count > 1 and self.listed not in _LISTED_STATES

    def leave(self, now: float) -> bool:
        """Mark as leaving; return false if it already was."""
        if not self.lifecycle.step('leave'):
            return False
        self.left_at = now
        self.probe_at = None
        return True

    def restart(self, incarnation: str, observed_at: float) -> None:
        """Switch to a new incarnation, which existed at ``observed_at``.

        The first incarnation heard of does not revoke a listed leave, unless it
        was observed after that leave.
        """
        is_first = not self.member.incarnation
        self.member.incarnation = incarnation
        self.candidate_incarnation = ''
        if is_first and not (self.is_leaving and observed_at > self.left_at):
            return
        self.ignores_listed_leave = self.listed is VmState.LEAVING
        self.silence_count = 0
        self.lifecycle.step('start')

    def update_from(self, announcement: Announcement) -> None:
        """Copy the service, location and addresses that the node announced."""
        self.member.service = announcement.service
        self.member.failure_domain = announcement.failure_domain
        self.member.region = announcement.region
        self.member.address = announcement.address
        self.member.admin_address = announcement.admin_address

    def accepts_incarnation(self, incarnation: str) -> bool:
        """Return whether an incarnation that answered is the current one.

        A lower incarnation is accepted only if it answers twice in a row: its
        first answer may have been sent before a restart, but if the clock of
        the VM went back, the second one has the lower incarnation as well.
        """
        if incarnation >= self.member.incarnation:
            return True
        if self.candidate_incarnation == incarnation:
            return True
        self.candidate_incarnation = incarnation
        return False

    def reset_observations(self) -> None:
        """Discard what was observed before a pause, except a leave."""
        self.lifecycle.step('forget')
        self.member.last_heard = -1
        self.silence_count = 0
        self.probe_at = None
        self.candidate_incarnation = ''


def tracked_from_list(vm: ListedVm) -> TrackedVm:
    """Track a VM that is known only from the list."""
    return TrackedVm(Member(**vm.attributes()), vm.state)


def tracked_from_announcement(announcement: Announcement) -> TrackedVm:
    """Track a VM that is known only from its announcement."""
    return TrackedVm(Member(**announcement.attributes()), listed=None)
