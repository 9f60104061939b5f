"""The VMs of the followed services, with what is known about each."""

from typing import Final

from lovageshunt.membership._actions import Probe
from lovageshunt.membership._announcement_store import AnnouncementStore
from lovageshunt.membership._departed import DepartedMembers
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import Announcement
from lovageshunt.membership._services import ServiceIndex
from lovageshunt.membership._settings import MembershipSettings
from lovageshunt.membership._tracked_vm import (
    TrackedVm,
    tracked_from_announcement,
    tracked_from_list,
)
from lovageshunt.membership._vms import ListedVm, VmState

_MS_PER_SECOND: Final = 1000


class Roster:
    """Tracked VMs, updated from lists, announcements, answers and silence.

    A leave takes precedence over everything else; silence alone never removes a
    VM. ``announcement_store`` holds what the nodes of the VMs announced.
    """

    __slots__ = (
        'index',
        'by_name',
        '_settings',
        '_announcement_store',
        '_departed',
    )

    def __init__(
        self,
        services: frozenset[str],
        settings: MembershipSettings,
        announcement_store: AnnouncementStore,
    ) -> None:
        self.index = ServiceIndex(services)
        self._settings = settings
        self._announcement_store = announcement_store
        self.by_name: dict[str, TrackedVm] = {}
        self._departed = DepartedMembers(settings.departed_retention_seconds)

    def recently_departed(self, service: str, now: float) -> list[Member]:
        """Return members that are leaving or left in the retention period."""
        since = now - self._settings.departed_retention_seconds
        leaving = [
            tracked.member
            for tracked in self.index.tracked_of(service)
            if tracked.is_leaving and tracked.last_seen_at >= since
        ]
        return leaving + self._departed.of_service(service, now)

    def apply_listed(
        self, vm: ListedVm, now: float, *, is_current: bool
    ) -> None:
        """Apply an entry of the VM list.

        A leave is accepted from any list; presence and absence only from a
        current one, because a stale copy shows a past state.
        """
        tracked = self.by_name.get(vm.name)
        if tracked is None:
            tracked = self._track(tracked_from_list(vm))
            tracked.member.incarnation = (
                self._announcement_store.incarnation_of(vm.name)
            )
            if self._announcement_store.has_left(vm.name, ''):
                self._leave(tracked, now)
        if vm.state is VmState.LEAVING:
            tracked.listed = VmState.LEAVING
            if not tracked.ignores_listed_leave:
                self._leave(tracked, now)
        elif is_current:
            self._apply_listed_live(tracked)

    def apply_unlisted(self, name: str, now: float) -> None:
        """Apply the absence of a VM from a current list.

        The list may omit new VMs, so a VM not heard from recently is probed and
        dropped only if it stays silent.
        """
        tracked = self.by_name.get(name)
        if tracked is None:
            return
        tracked.listed = VmState.GONE
        tracked.ignores_listed_leave = False
        silent_seconds = now - tracked.member.last_heard
        if silent_seconds < self._settings.absence_grace_seconds:
            return
        if tracked.probe_at is None:
            tracked.probe_at = now

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> None:
        """Apply what a node announced about itself."""
        tracked = self.by_name.get(announcement.name)
        if tracked is None:
            tracked = self._track(tracked_from_announcement(announcement))
        if announcement.incarnation > tracked.member.incarnation:
            self._replace(tracked, announcement, now)
        if announcement.is_leaving:
            self._leave(tracked, now)

    def record_answer(
        self, name: str, incarnation: str, now: float
    ) -> list[Probe]:
        """Record an answer; return a probe if its incarnation is unexpected."""
        tracked = self.by_name.get(name)
        if tracked is None:
            return []
        tracked.member.last_heard = now
        tracked.silence_count = 0
        tracked.probe_at = None
        if incarnation and incarnation != tracked.member.incarnation:
            if not tracked.accepts_incarnation(incarnation):
                return [Probe(name, tracked.member.address)]
            self._restart(tracked, incarnation, now)
        was_silent = tracked.is_silent
        tracked.lifecycle.step('answer')
        if was_silent:
            self.index.refresh(tracked.member.service)
        return []

    def record_refusal(self, name: str, incarnation: str, now: float) -> None:
        """Record that a peer refused because it is leaving."""
        tracked = self.by_name.get(name)
        if tracked is None:
            return
        if incarnation:
            if incarnation < tracked.member.incarnation:
                return
            tracked.member.incarnation = incarnation
        tracked.member.last_heard = now
        self._leave(tracked, now)

    def record_silence(self, name: str, now: float) -> None:
        """Mark a peer suspect; drop it if it is silent again and not listed."""
        tracked = self.by_name.get(name)
        if tracked is None:
            return
        delay = (
            self._settings.min_probe_delay_seconds * 2**tracked.silence_count
        )
        tracked.silence_count += 1
        tracked.probe_at = now + min(
            delay, self._settings.max_probe_delay_seconds
        )
        if tracked.lifecycle.step('silence'):
            self.index.refresh(tracked.member.service)
        if tracked.is_droppable:
            self._drop(tracked, now)

    def due_probes(self, now: float) -> list[Probe]:
        """Return due probes; each is rescheduled in case it is not answered."""
        due = [
            tracked
            for tracked in self.by_name.values()
            if tracked.probe_at is not None and tracked.probe_at <= now
        ]
        for tracked in due:
            tracked.probe_at = now + self._settings.max_probe_delay_seconds
        return [Probe(vm.member.name, vm.member.address) for vm in due]

    def expire(self, now: float) -> None:
        """Forget VMs that left before the retention period."""
        since = now - self._settings.departed_retention_seconds
        self._departed.expire(now)
        for tracked in tuple(self.by_name.values()):
            if not tracked.is_leaving or tracked.last_seen_at >= since:
                continue
            if tracked.listed in {None, VmState.GONE}:
                self._drop(tracked, tracked.left_at)

    def _track(self, tracked: TrackedVm) -> TrackedVm:
        name = tracked.member.name
        self.by_name[name] = tracked
        self._departed.remove(name)
        self.index.add(tracked)
        return tracked

    def _apply_listed_live(self, tracked: TrackedVm) -> None:
        member = tracked.member
        tracked.listed = VmState.LIVE
        tracked.ignores_listed_leave = False
        if self._announcement_store.has_left(member.name, member.incarnation):
            return
        if tracked.lifecycle.step('stay'):
            self.index.refresh(member.service)

    def _replace(
        self,
        tracked: TrackedVm,
        announcement: Announcement,
        now: float,
    ) -> None:
        """Apply the announcement of a later incarnation."""
        self.index.remove(tracked)
        tracked.update_from(announcement)
        self.index.add(tracked)
        age_seconds = announcement.age_ms / _MS_PER_SECOND
        self._restart(tracked, announcement.incarnation, now - age_seconds)

    def _restart(
        self,
        tracked: TrackedVm,
        incarnation: str,
        observed_at: float,
    ) -> None:
        tracked.restart(incarnation, observed_at)
        self.index.refresh(tracked.member.service)
        if self._announcement_store.has_left(tracked.member.name, incarnation):
            self._leave(tracked, observed_at)

    def _leave(self, tracked: TrackedVm, now: float) -> None:
        if tracked.leave(now):
            self.index.refresh(tracked.member.service)

    def _drop(self, tracked: TrackedVm, left_at: float) -> None:
        member = tracked.member
        self.by_name.pop(member.name)
        self.index.remove(tracked)
        self._departed.add(member, left_at)
