"""The members of the services that a node needs, by what is known of each."""

from typing import Final

from lovageshunt.membership._actions import Probe
from lovageshunt.membership._departures import Departures
from lovageshunt.membership._facts import Facts
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import Announcement
from lovageshunt.membership._services import ServiceIndex
from lovageshunt.membership._settings import MembershipSettings
from lovageshunt.membership._tracked import (
    Tracked,
    tracked_from_list,
    tracked_from_word,
)
from lovageshunt.membership._vms import ListedVm, VmState

_MS_PER_SECOND: Final = 1000


class Roster:
    """Tracked VMs: a leave goes before everything, silence decides nothing.

    ``facts`` tell what the nodes of the VMs said of themselves.
    """

    __slots__ = (
        'index',
        'by_name',
        '_settings',
        '_facts',
        '_departures',
    )

    def __init__(
        self,
        services: frozenset[str],
        settings: MembershipSettings,
        facts: Facts,
    ) -> None:
        """Know nobody yet."""
        self.index = ServiceIndex(services)
        self._settings = settings
        self._facts = facts
        self.by_name: dict[str, Tracked] = {}
        self._departures = Departures(settings.departed_horizon)

    def recently_departed(self, service: str, now: float) -> list[Member]:
        """Return those that are leaving or left within the horizon."""
        since = now - self._settings.departed_horizon
        leaving = [
            tracked.member
            for tracked in self.index.tracked_of(service)
            if tracked.is_leaving and tracked.last_sign >= since
        ]
        return leaving + self._departures.of_service(service, now)

    def list_vm(self, vm: ListedVm, now: float, *, is_current: bool) -> None:
        """Take in what the list says of a VM.

        A leave is believed from any list; life and absence only from a
        current one, because a stale copy of the list shows the past.
        """
        tracked = self.by_name.get(vm.name)
        if tracked is None:
            tracked = self._track(tracked_from_list(vm))
            tracked.member.incarnation = self._facts.incarnation_of(vm.name)
            if self._facts.has_left(vm.name, ''):
                self._leave(tracked, now)
        if vm.state is VmState.LEAVING:
            tracked.listed = VmState.LEAVING
            if not tracked.passes_over_leaving:
                self._leave(tracked, now)
        elif is_current:
            self._list_live(tracked)

    def list_gone(self, name: str, now: float) -> None:
        """Take in that a current list does not name a VM.

        The list omits the new, so one that was not heard lately is probed
        and dropped only when it stays silent.
        """
        tracked = self.by_name.get(name)
        if tracked is None:
            return
        tracked.listed = VmState.GONE
        tracked.passes_over_leaving = False
        unheard_for = now - tracked.member.last_heard
        if unheard_for < self._settings.absence_grace:
            return
        if tracked.probe_at is None:
            tracked.probe_at = now

    def announce(self, announcement: Announcement, now: float) -> None:
        """Take in a node's own word about itself."""
        tracked = self.by_name.get(announcement.name)
        if tracked is None:
            tracked = self._track(tracked_from_word(announcement))
        if announcement.incarnation > tracked.member.incarnation:
            self._replace(tracked, announcement, now)
        if announcement.is_leaving:
            self._leave(tracked, now)

    def answer(self, name: str, incarnation: str, now: float) -> list[Probe]:
        """Take in an answer; probe when it contradicts what is known."""
        tracked = self.by_name.get(name)
        if tracked is None:
            return []
        tracked.member.last_heard = now
        tracked.silences = 0
        tracked.probe_at = None
        if incarnation and incarnation != tracked.member.incarnation:
            if not tracked.accepts(incarnation):
                return [Probe(name, tracked.member.address)]
            self._restart(tracked, incarnation, now)
        was_silent = tracked.seems_silent
        tracked.life.step('answer')
        if was_silent:
            self.index.touch(tracked.member.service)
        return []

    def refuse(self, name: str, incarnation: str, now: float) -> None:
        """Take in a refusal by a peer that is leaving."""
        tracked = self.by_name.get(name)
        if tracked is None:
            return
        if incarnation:
            if incarnation < tracked.member.incarnation:
                return
            tracked.member.incarnation = incarnation
        tracked.member.last_heard = now
        self._leave(tracked, now)

    def silence(self, name: str, now: float) -> None:
        """Lower the preference of a peer, and drop one that nobody names."""
        tracked = self.by_name.get(name)
        if tracked is None:
            return
        delay = self._settings.first_probe_delay * 2**tracked.silences
        tracked.silences += 1
        tracked.probe_at = now + min(delay, self._settings.longest_probe_delay)
        if tracked.life.step('silence'):
            self.index.touch(tracked.member.service)
        if tracked.is_gone:
            self._depart(tracked, now)

    def due_probes(self, now: float) -> list[Probe]:
        """Return the probes that are due; each is due again if unanswered."""
        due = [
            tracked
            for tracked in self.by_name.values()
            if tracked.probe_at is not None and tracked.probe_at <= now
        ]
        for tracked in due:
            tracked.probe_at = now + self._settings.longest_probe_delay
        return [Probe(one.member.name, one.member.address) for one in due]

    def expire(self, now: float) -> None:
        """Forget who left longer than the horizon ago."""
        since = now - self._settings.departed_horizon
        self._departures.expire(now)
        for tracked in tuple(self.by_name.values()):
            if not tracked.is_leaving or tracked.last_sign >= since:
                continue
            if tracked.listed in {None, VmState.GONE}:
                self._depart(tracked, tracked.left_at)

    def _track(self, tracked: Tracked) -> Tracked:
        name = tracked.member.name
        self.by_name[name] = tracked
        self._departures.remove(name)
        self.index.add(tracked)
        return tracked

    def _list_live(self, tracked: Tracked) -> None:
        member = tracked.member
        tracked.listed = VmState.LIVE
        tracked.passes_over_leaving = False
        if self._facts.has_left(member.name, member.incarnation):
            return
        if tracked.life.step('stay'):
            self.index.touch(member.service)

    def _replace(
        self,
        tracked: Tracked,
        announcement: Announcement,
        now: float,
    ) -> None:
        """Take an incarnation's word in place of that of the one before."""
        self.index.remove(tracked)
        tracked.move(announcement)
        self.index.add(tracked)
        age = announcement.age_ms / _MS_PER_SECOND
        self._restart(tracked, announcement.incarnation, now - age)

    def _restart(
        self,
        tracked: Tracked,
        incarnation: str,
        since: float,
    ) -> None:
        tracked.restart(incarnation, since)
        self.index.touch(tracked.member.service)
        if self._facts.has_left(tracked.member.name, incarnation):
            self._leave(tracked, since)

    def _leave(self, tracked: Tracked, now: float) -> None:
        if tracked.leave(now):
            self.index.touch(tracked.member.service)

    def _depart(self, tracked: Tracked, left_at: float) -> None:
        member = tracked.member
        self.by_name.pop(member.name)
        self.index.remove(tracked)
        self._departures.add(member, left_at)
