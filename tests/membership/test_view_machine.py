"""A view holds its promises whatever it is told, in any order."""

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
ROLLBACK_PATIENCE = 60
TRANSIT = 0.001
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
ONLY_GENERATE = settings(SETTINGS, phases=[Phase.generate])

vm_names = st.sampled_from(VMS)


class Lag(RuleBasedStateMachine):
    """One view against VMs that restart and leave, and a list that lags.

    The view hears what the VMs say late, twice, out of order or never, and
    reads any list that was ever published.
    """

    def __init__(self) -> None:
        """Begin with every VM running and nothing heard."""
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
        self.under_way: list[Announcement] = []
        self.published: list[VmListReceived] = []
        self.left_by_name: dict[str, str] = {}
        self.listed_leaving: set[str] = set()
        self.shown_leaving: set[str] = set()
        self.passed_over: set[str] = set()
        self.heard_by_name: dict[str, str] = {}
        self.live_listed: set[str] = set()
        self.silent: set[str] = set()
        self.highest = 0
        self.highest_at = self.now

    @initialize()
    def begin(self) -> None:
        """Read the first list, which names every VM."""
        self.state_by_name = dict.fromkeys((*VMS, STEADY), VmState.LIVE)
        self.publish()
        self.read_list(0)

    @rule(gap=st.sampled_from([0.1, 1, 5, 20]))
    def wait(self, gap: float) -> None:
        """Let time pass; probes to the steady VM are answered."""
        self.now += gap
        for action in self.view.handle(MembershipTicked(), self.now):
            if isinstance(action, Probe) and action.name == STEADY:
                answer = PeerAnswered(STEADY, self.current(STEADY))
                self.view.handle(answer, self.now)

    @rule(omits_steady=st.booleans())
    def publish(self, *, omits_steady: bool = False) -> None:
        """Publish the list, perhaps without the steady VM."""
        vms = [
            listed(name, state)
            for name, state in sorted(self.state_by_name.items())
            if state is not VmState.GONE
            and not (omits_steady and name == STEADY)
        ]
        self.published.append(list_received(len(self.published) + 1, *vms))

    @rule(back=st.integers(0, 3))
    def read_list(self, back: int) -> None:
        """Read the latest list or one that is somewhat older."""
        reading = self.published[max(0, len(self.published) - 1 - back)]
        self.view.handle(reading, self.now)
        self.note_listed(reading.vm_list)

    @rule(name=vm_names)
    def say(self, name: str) -> None:
        """Let a VM announce itself; the word is under way."""
        self.under_way.append(self.word_of(name, is_leaving=False))

    @rule(name=vm_names, is_announced=st.booleans())
    def leave(self, name: str, *, is_announced: bool) -> None:
        """Let a VM leave; it announces it, or is merely listed."""
        if is_announced:
            self.under_way.append(self.word_of(name, is_leaving=True))
        self.state_by_name[name] = VmState.LEAVING
        self.publish()

    @rule(name=vm_names)
    def vanish(self, name: str) -> None:
        """Let a VM be listed no longer."""
        self.state_by_name[name] = VmState.GONE
        self.publish()

    @rule(name=vm_names, is_planned=st.booleans())
    def restart(self, name: str, *, is_planned: bool) -> None:
        """Let a VM come back in a new incarnation, which it announces."""
        if is_planned:
            self.under_way.append(self.word_of(name, is_leaving=True))
        self.now += 1
        self.incarnation_by_name[name] += 1
        self.state_by_name[name] = VmState.LIVE
        self.publish()
        self.under_way.append(self.word_of(name, is_leaving=False))

    @rule(choice=st.integers(0, 50), is_kept=st.booleans())
    def deliver(self, choice: int, *, is_kept: bool) -> None:
        """Deliver any word that is under way, perhaps not for the last time."""
        if not self.under_way:
            return
        index = choice % len(self.under_way)
        self.now += TRANSIT
        heard = self.under_way[index]
        if not is_kept:
            self.under_way.pop(index)
        is_return = (
            heard.incarnation > self.heard_by_name.get(heard.name, '')
            and heard.name in self.left_by_name
            and not heard.is_leaving
        )
        self.view.handle(PeerAnnounced(heard), self.now)
        self.note_heard(heard)
        if is_return:
            assert heard.name in self.offered(), 'a return is accepted'

    @rule(name=vm_names)
    def stay_silent(self, name: str) -> None:
        """Let a call to a VM have no answer."""
        self.view.handle(PeerSilent(name), self.now)
        self.silent.add(name)

    @rule()
    def pause(self) -> None:
        """Pause the process for a while."""
        self.now += 30
        self.view.handle(PauseEnded(), self.now)
        members = self.view.members_of('records')
        assert all(one.last_heard < 0 for one in members)
        assert not any(one.is_suspect for one in members)

    @invariant()
    def announced_leaves_hold(self) -> None:
        """Who announced its leave is not offered in that incarnation."""
        for name, member in self.offered().items():
            left = self.left_by_name.get(name, '')
            assert not left or member.incarnation > left

    @invariant()
    def listed_leaves_hold(self) -> None:
        """Who is merely listed as leaving is not offered."""
        assert not self.listed_leaving & self.offered().keys()

    @invariant()
    def silence_drops_nobody(self) -> None:
        """Who is listed, or was heard and not silent since, is offered."""
        present = self.live_listed | self.heard_by_name.keys() - self.silent
        left = {
            name
            for name, incarnation in self.left_by_name.items()
            if incarnation >= self.heard_by_name[name]
        }
        expected = present - left - self.listed_leaving
        assert expected <= self.offered().keys()

    @invariant()
    def never_empty(self) -> None:
        """Who always answers is always offered."""
        if self.published:
            assert STEADY in self.offered()

    @invariant()
    def mostly_trusted(self) -> None:
        """At most half of the members are suspect."""
        members = self.view.members_of('records')
        suspects = [one for one in members if one.is_suspect]
        assert len(suspects) * 2 <= len(members)

    def offered(self) -> dict[str, Any]:
        """Return the members of records by name."""
        return {one.name: one for one in self.view.members_of('records')}

    def current(self, name: str) -> str:
        """Return a VM's present incarnation, which sorts by its start."""
        return format(self.incarnation_by_name[name], '03d')

    def word_of(self, name: str, *, is_leaving: bool) -> Announcement:
        """Return what a VM says of itself now."""
        return announcement_of(name, self.current(name), is_leaving=is_leaving)

    def note_heard(self, heard: Announcement) -> None:
        """Keep what the view must believe of announcements."""
        known = self.heard_by_name.get(heard.name, '')
        if heard.incarnation > known:
            self.heard_by_name[heard.name] = heard.incarnation
            self.silent.discard(heard.name)
            self.listed_leaving.discard(heard.name)
            self.passed_over |= {heard.name} & self.shown_leaving
        left = self.left_by_name.get(heard.name, '')
        if heard.is_leaving and heard.incarnation > left:
            self.left_by_name[heard.name] = heard.incarnation

    def note_listed(self, vm_list: VmList) -> None:
        """Keep what the view must believe of the list."""
        leaving = {vm.name for vm in vm_list.vms if vm.state is VmState.LEAVING}
        is_restarted = self.now - self.highest_at > ROLLBACK_PATIENCE
        if vm_list.revision >= self.highest or is_restarted:
            self.highest = vm_list.revision
            self.highest_at = self.now
            self.live_listed = {
                vm.name for vm in vm_list.vms if vm.state is VmState.LIVE
            }
            self.listed_leaving &= leaving
            self.passed_over &= leaving
            self.shown_leaving &= leaving
        self.listed_leaving |= leaving - self.passed_over
        self.shown_leaving |= leaving


Lag.TestCase.settings = SETTINGS
TestLag = Lag.TestCase


def was_silent(tracked: Any) -> bool:
    """Return whether a VM missed one answer, the naive reason to drop it."""
    return bool(tracked.silence_count)


class TestMachineBites:
    """The machine fails against views that lack one of the rules."""

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
        """A view without the rule breaks a promise."""
        monkeypatch.setattr(f'lovageshunt.membership.{checked_by}', naive)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(Lag, settings=ONLY_GENERATE)
