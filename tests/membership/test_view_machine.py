"""A view keeps its guarantees for any events in any order."""

from random import Random
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lovageshunt.membership import (
    Announcement,
    MembershipTicked,
    MembershipView,
    PauseEnded,
    PeerAnnounced,
    PeerAnswered,
    PeerSilent,
    Probe,
    VmList,
    VmListReceived,
    VmState,
)
from tests.membership.builders import announcement_of, list_received, listed

#: Never leaves and always answers, but the list may omit it.
STEADY = 'steady'
VMS = ('a', 'b', 'c')
ROLLBACK_TIMEOUT_SECONDS = 60
TRANSIT_SECONDS = 0.001
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
ONLY_GENERATE = settings(SETTINGS, phases=[Phase.generate])

vm_names = st.sampled_from(VMS)


class Lag(RuleBasedStateMachine):
    """One view of VMs that restart and leave, with a list that lags behind.

    Announcements arrive late, twice, out of order or never, and any list that
    was ever published may be read.
    """

    def __init__(self) -> None:
        """Start with every VM running and no event received."""
        super().__init__()
        self.now = 100.0
        self.view = MembershipView(
            own=announcement_of('own', service='balances'),
            needed_services=['records'],
            rng=Random(1),
            now=self.now,
        )
        self.incarnation_by_name = dict.fromkeys((*VMS, STEADY), 1)
        self.state_by_name: dict[str, VmState] = {}
        self.in_transit: list[Announcement] = []
        self.published: list[VmListReceived] = []
        self.left_by_name: dict[str, str] = {}
        self.listed_leaving: set[str] = set()
        self.shown_leaving: set[str] = set()
        self.ignored_leaving: set[str] = set()
        self.received_by_name: dict[str, str] = {}
        self.live_listed: set[str] = set()
        self.silent: set[str] = set()
        self.highest = 0
        self.highest_at = self.now

    @initialize()
    def begin(self) -> None:
        """Read the first list, which contains every VM."""
        self.state_by_name = dict.fromkeys((*VMS, STEADY), VmState.LIVE)
        self.publish()
        self.read_list(0)

    @rule(gap=st.sampled_from([0.1, 1, 5, 20]))
    def wait(self, gap: float) -> None:
        """Advance time; probes of the steady VM are answered."""
        self.now += gap
        for action in self.view.handle(MembershipTicked(), self.now):
            if isinstance(action, Probe) and action.name == STEADY:
                answer = PeerAnswered(STEADY, self.current(STEADY))
                self.view.handle(answer, self.now)

    @rule(omits_steady=st.booleans())
    def publish(self, *, omits_steady: bool = False) -> None:
        """Publish the list, possibly without the steady VM."""
        vms = [
            listed(name, state)
            for name, state in sorted(self.state_by_name.items())
            if state is not VmState.GONE
            and not (omits_steady and name == STEADY)
        ]
        self.published.append(list_received(len(self.published) + 1, *vms))

    @rule(back=st.integers(0, 3))
    def read_list(self, back: int) -> None:
        """Read the latest list or a slightly older one."""
        event = self.published[max(0, len(self.published) - 1 - back)]
        self.view.handle(event, self.now)
        self.note_listed(event.vm_list)

    @rule(name=vm_names)
    def send_announcement(self, name: str) -> None:
        """A VM announces itself; the message is in transit."""
        self.in_transit.append(self.announcement_by(name, is_leaving=False))

    @rule(name=vm_names, is_announced=st.booleans())
    def leave(self, name: str, *, is_announced: bool) -> None:
        """A VM leaves; it announces this or is only listed as leaving."""
        if is_announced:
            self.in_transit.append(self.announcement_by(name, is_leaving=True))
        self.state_by_name[name] = VmState.LEAVING
        self.publish()

    @rule(name=vm_names)
    def vanish(self, name: str) -> None:
        """A VM is no longer listed."""
        self.state_by_name[name] = VmState.GONE
        self.publish()

    @rule(name=vm_names, is_planned=st.booleans())
    def restart(self, name: str, *, is_planned: bool) -> None:
        """A VM returns as a new incarnation and announces itself."""
        if is_planned:
            self.in_transit.append(self.announcement_by(name, is_leaving=True))
        self.now += 1
        self.incarnation_by_name[name] += 1
        self.state_by_name[name] = VmState.LIVE
        self.publish()
        self.in_transit.append(self.announcement_by(name, is_leaving=False))

    @rule(choice=st.integers(0, 50), is_kept=st.booleans())
    def deliver(self, choice: int, *, is_kept: bool) -> None:
        """Deliver any message in transit; it may be delivered again."""
        if not self.in_transit:
            return
        index = choice % len(self.in_transit)
        self.now += TRANSIT_SECONDS
        announcement = self.in_transit[index]
        if not is_kept:
            self.in_transit.pop(index)
        is_return = (
            announcement.incarnation
            > self.received_by_name.get(announcement.name, '')
            and announcement.name in self.left_by_name
            and not announcement.is_leaving
        )
        self.view.handle(PeerAnnounced(announcement), self.now)
        self.note_received(announcement)
        if is_return:
            assert announcement.name in self.offered(), 'a return is accepted'

    @rule(name=vm_names)
    def stay_silent(self, name: str) -> None:
        """A call to a VM is not answered."""
        self.view.handle(PeerSilent(name), self.now)
        self.silent.add(name)

    @rule()
    def pause(self) -> None:
        """Pause the process."""
        self.now += 30
        self.view.handle(PauseEnded(), self.now)
        members = self.view.members_of('records')
        assert all(member.last_heard < 0 for member in members)
        assert not any(member.is_suspect for member in members)

    @invariant()
    def announced_leaves_hold(self) -> None:
        """A VM that announced its leave is not offered in that incarnation."""
        for name, member in self.offered().items():
            left = self.left_by_name.get(name, '')
            assert not left or member.incarnation > left

    @invariant()
    def listed_leaves_hold(self) -> None:
        """A VM that is only listed as leaving is not offered."""
        assert not self.listed_leaving & self.offered().keys()

    @invariant()
    def silence_drops_nobody(self) -> None:
        """Silence alone removes no VM.

        A VM that is listed, or that announced itself and was not silent since,
        is offered unless it is leaving.
        """
        present = self.live_listed | self.received_by_name.keys() - self.silent
        left = {
            name
            for name, incarnation in self.left_by_name.items()
            if incarnation >= self.received_by_name[name]
        }
        expected = present - left - self.listed_leaving
        assert expected <= self.offered().keys()

    @invariant()
    def never_empty(self) -> None:
        """A VM that always answers is always offered."""
        if self.published:
            assert STEADY in self.offered()

    @invariant()
    def mostly_trusted(self) -> None:
        """At most half of the members are suspect."""
        members = self.view.members_of('records')
        suspects = [member for member in members if member.is_suspect]
        assert len(suspects) * 2 <= len(members)

    def offered(self) -> dict[str, Any]:
        """Return the members of ``records`` by name."""
        return {
            member.name: member for member in self.view.members_of('records')
        }

    def current(self, name: str) -> str:
        """Return a VM's current incarnation, which sorts by its start."""
        return format(self.incarnation_by_name[name], '03d')

    def announcement_by(self, name: str, *, is_leaving: bool) -> Announcement:
        """Return what a VM announces now."""
        return announcement_of(name, self.current(name), is_leaving=is_leaving)

    def note_received(self, announcement: Announcement) -> None:
        """Update the expected state after an announcement."""
        known = self.received_by_name.get(announcement.name, '')
        if announcement.incarnation > known:
            self.received_by_name[announcement.name] = announcement.incarnation
            self.silent.discard(announcement.name)
            self.listed_leaving.discard(announcement.name)
            self.ignored_leaving |= {announcement.name} & self.shown_leaving
        left = self.left_by_name.get(announcement.name, '')
        if announcement.is_leaving and announcement.incarnation > left:
            self.left_by_name[announcement.name] = announcement.incarnation

    def note_listed(self, vm_list: VmList) -> None:
        """Update the expected state after a list."""
        leaving = {vm.name for vm in vm_list.vms if vm.state is VmState.LEAVING}
        has_restarted = self.now - self.highest_at > ROLLBACK_TIMEOUT_SECONDS
        if vm_list.revision >= self.highest or has_restarted:
            self.highest = vm_list.revision
            self.highest_at = self.now
            self.live_listed = {
                vm.name for vm in vm_list.vms if vm.state is VmState.LIVE
            }
            self.listed_leaving &= leaving
            self.ignored_leaving &= leaving
            self.shown_leaving &= leaving
        self.listed_leaving |= leaving - self.ignored_leaving
        self.shown_leaving |= leaving


Lag.TestCase.settings = SETTINGS
TestLag = Lag.TestCase


def was_silent(tracked: Any) -> bool:
    """Return whether a VM missed one answer, a naive reason to drop it."""
    return bool(tracked.silence_count)


class TestMachineBites:
    """The state machine detects views that lack one of the rules."""

    @pytest.mark.parametrize(
        ('checked_by', 'naive'),
        [
            (
                '_announcement_store.AnnouncementStore.has_left',
                lambda *_: False,
            ),
            ('_announcement_store._is_newer', lambda *_: True),
            ('_list_tracker.ListTracker._is_current', lambda *_: True),
            ('_tracked_vm.TrackedVm.is_droppable', property(was_silent)),
            ('_tracked_vm.TrackedVm.reset_observations', lambda _: None),
            ('_services._MAX_SUSPECT_SHARE', 1),
        ],
    )
    def test_without_a_rule(
        self,
        monkeypatch: pytest.MonkeyPatch,
        checked_by: str,
        naive: Any,
    ) -> None:
        """A view without the rule breaks a guarantee."""
        monkeypatch.setattr(f'lovageshunt.membership.{checked_by}', naive)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(Lag, settings=ONLY_GENERATE)
