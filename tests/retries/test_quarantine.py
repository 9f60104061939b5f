"""Stopping a call that crashes targets from crashing more of them."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovageshunt.retries import (
    CallEnded,
    CallStarting,
    FailCondemned,
    NotifyPeers,
    PeerReported,
    Proceed,
    Quarantine,
    QuarantineSettings,
    RefuseTemporarily,
    SuspectReport,
    Suspicion,
    TargetCrashed,
)

_NODES = 3
_POISON = 'poison'
_INDEX = st.integers(0, _NODES - 1)


def _starting(call_id, fingerprint=_POISON, **fields):
    return CallStarting(
        call_id=call_id,
        fingerprint=fingerprint,
        **{'is_repeatable': True, **fields},
    )


@pytest.fixture
def node():
    """Return the quarantine of one node."""
    return Quarantine(QuarantineSettings(max_suspects=3))


class TestQuarantine:
    """The quarantine of one node."""

    def test_unknown_call_proceeds(self, node):
        """A call without an entry runs at once."""
        assert node.handle(_starting('x'), 0) == [Proceed(call_id='x')]

    def test_suspects_run_one_at_a_time(self, node):
        """A second suspect is refused while the first runs."""
        node.handle(_starting('x', 'one'), 0)
        node.handle(_starting('y', 'two'), 0)
        node.handle(TargetCrashed(), 0)
        node.handle(_starting('x', 'one'), 1)

        actions = node.handle(_starting('y', 'two'), 1)

        assert actions == [RefuseTemporarily(call_id='y', retry_after_ms=100)]

    def test_suspect_that_finishes_is_cleared(self, node):
        """Its entry is removed and peers are notified."""
        node.handle(_starting('x'), 0)
        node.handle(TargetCrashed(), 0)
        node.handle(_starting('x'), 1)

        actions = node.handle(CallEnded(call_id='x', is_complete=True), 2)

        cleared = SuspectReport(
            fingerprint=_POISON,
            suspicion=Suspicion.CLEARED,
        )
        assert actions == [NotifyPeers(reports=(cleared,))]
        assert node.entry_count == 0

    def test_second_crash_condemns(self, node):
        """The next resend fails at once, with a retry time."""
        for now in (0, 1):
            node.handle(_starting('x'), now)
            node.handle(TargetCrashed(), now)

        actions = node.handle(_starting('x'), 2)

        assert actions == [FailCondemned(call_id='x', retry_after_ms=599_000)]

    def test_call_that_must_run_once_is_condemned_at_once(self, node):
        """A call that must not be repeated is condemned by its first crash."""
        node.handle(_starting('x', is_repeatable=False), 0)
        node.handle(TargetCrashed(), 0)

        actions = node.handle(_starting('x', is_repeatable=False), 1)

        assert isinstance(actions[0], FailCondemned)

    def test_context_carries_suspicion_between_callers(self, node):
        """A node without a report relies on the context of the call."""
        actions = node.handle(_starting('x', suspicion=2), 0)

        assert isinstance(actions[0], FailCondemned)

    def test_condemnation_expires(self, node):
        """The fault may have been fixed in the meantime."""
        node.handle(_starting('x', suspicion=2), 0)

        assert node.handle(_starting('x'), 601) == [Proceed(call_id='x')]

    def test_table_is_bounded(self, node):
        """Beyond the maximum the oldest entry is dropped."""
        reports = tuple(
            SuspectReport(fingerprint=str(at), suspicion=Suspicion.SUSPECTED)
            for at in range(9)
        )

        node.handle(PeerReported(reports=reports), 0)

        assert node.entry_count == 3


class TestSeveralCrashes:
    """A quarantine that needs two crashes for a suspect, three to condemn."""

    @pytest.fixture
    def nodes(self):
        """Return two nodes that tell each other all they learn."""
        return _Peers(
            QuarantineSettings(crashes_to_suspect=2, crashes_to_condemn=3), 2
        )

    def test_first_crash_keeps_no_call_waiting(self, nodes):
        """A call that was in flight once runs beside others of its kind."""
        nodes.crash_with('x', at=0)

        assert nodes.starts('x', at=0)
        assert nodes.starts('x', at=1)

    def test_crashes_at_the_same_time_count_once(self, nodes):
        """A failure of all targets accuses a popular request of one crash."""
        for at in (0, 1):
            nodes.starts('x', at=at)
        for at in (0, 1):
            nodes.handle(TargetCrashed(), at=at)

        assert not nodes.quarantines[0].is_suspect('x', 1)

    def test_runs_in_turn_count_each(self, nodes):
        """Two crashes, one after the other, make a suspect everywhere."""
        nodes.crash_with('x', at=0)
        nodes.crash_with('x', at=1)

        assert all(node.is_suspect('x', 1) for node in nodes.quarantines)

    def test_suspect_runs_on_one_target_at_a_time(self, nodes):
        """The other node refuses it until the trial is over."""
        nodes.crash_with('x', at=0)
        nodes.crash_with('x', at=1)

        assert nodes.starts('x', at=0)
        assert nodes.refusal('x', at=1) == RefuseTemporarily(
            call_id='x', retry_after_ms=100
        )
        assert nodes.quarantines[1].refusal_ms('x', 1) == 100

    def test_suspect_waits_while_no_other_target_stands(self, nodes):
        """The last target is not risked for it."""
        nodes.crash_with('x', at=0)
        nodes.crash_with('x', at=1)

        assert nodes.refusal('x', at=0, has_spare=False) == RefuseTemporarily(
            call_id='x', retry_after_ms=1000
        )

    def test_third_crash_condemns_at_all_nodes(self, nodes):
        """It is refused before it is sent, with when to come back."""
        for at in (0, 1, 0):
            nodes.crash_with('x', at=at)

        assert nodes.quarantines[1].refusal_ms('x', 1) == 600_000
        assert isinstance(nodes.refusal('x', at=1), FailCondemned)

    def test_complete_answer_acquits_at_all_nodes(self, nodes):
        """A sound request starts anew, however often it was in flight."""
        nodes.crash_with('x', at=0)
        nodes.crash_with('x', at=1)
        nodes.starts('x', at=0)
        nodes.handle(CallEnded(call_id='x', is_complete=True), at=0)

        assert [node.entry_count for node in nodes.quarantines] == [0, 0]

    def test_complete_answer_of_an_earlier_run_acquits(self, nodes):
        """A run that began before the crash proves as much."""
        nodes.starts('x', at=1)
        nodes.crash_with('x', at=0)
        nodes.handle(CallEnded(call_id='x', is_complete=True), at=1)

        assert [node.entry_count for node in nodes.quarantines] == [0, 0]

    def test_only_calls_that_were_sent_are_accused(self, nodes):
        """One that still waits for a connection has crashed nothing."""
        nodes.starts('x', at=0)
        nodes.starts('y', at=0)
        nodes.handle(TargetCrashed(frozenset('x')), at=0)

        assert nodes.quarantines[0].entry_count == 1

    def test_restarted_node_learns_what_is_condemned(self, nodes):
        """It is told with the time that is left."""
        for at in (0, 1, 0):
            nodes.crash_with('x', at=at)
        restarted = Quarantine(QuarantineSettings())

        reports = nodes.quarantines[1].suspects(500)
        restarted.handle(PeerReported(reports=reports), 500)

        assert restarted.refusal_ms('x', 500) == 101_000
        assert restarted.refusal_ms('x', 601) is None

    def test_report_of_a_node_that_counts_no_crashes_is_read(self):
        """It stands for one crash and the whole time."""
        fields = {'fingerprint': 'x', 'suspicion': 'suspected'}

        report = SuspectReport.from_fields(fields)

        assert (report.crashes, report.seconds_left) == (1, 0)


class _Peers:
    """Quarantines that tell each other all they learn, at once."""

    def __init__(self, limits, count):
        self.quarantines = [Quarantine(limits) for _ in range(count)]

    def handle(self, event, *, at):
        actions = self.quarantines[at].handle(event, 1)
        for action in actions:
            if isinstance(action, NotifyPeers):
                self._report_to_peers(at, PeerReported(reports=action.reports))
        return actions

    def _report_to_peers(self, at, reported):
        for peer, quarantine in enumerate(self.quarantines):
            if peer != at:
                quarantine.handle(reported, 1)

    def refusal(self, name, *, at, **fields):
        """Start a call and return the last action."""
        return self.handle(_starting(name, name, **fields), at=at)[-1]

    def starts(self, name, *, at):
        return isinstance(self.refusal(name, at=at), Proceed)

    def crash_with(self, name, *, at):
        assert self.starts(name, at=at)
        self.handle(TargetCrashed(), at=at)


class PoisonMachine(RuleBasedStateMachine):
    """Three targets, one request that crashes them, and harmless ones."""

    limits = QuarantineSettings()

    def __init__(self):
        super().__init__()
        limits = self.limits
        self.nodes = [Quarantine(limits) for _ in range(_NODES)]
        self.flights = [{} for _ in range(_NODES)]
        self.now = 0
        self.crashes = 0
        self.wrongly_condemned = 0

    @rule(at=_INDEX, harmless=st.integers(0, 4))
    def start(self, at, harmless):
        """A harmless call arrives."""
        self._start(at, str(harmless))

    @rule(at=_INDEX)
    def start_poison(self, at):
        """The crashing request is resent, unless an attempt still runs."""
        if not any(_POISON in flight for flight in self.flights):
            self._start(at, _POISON)

    @rule(at=_INDEX)
    def end(self, at):
        """A harmless call finishes."""
        for name in self.flights[at]:
            if name != _POISON:
                self.flights[at].pop(name)
                self._handle(at, CallEnded(call_id=name, is_complete=True))
                return

    @rule()
    def crash(self):
        """The request crashes its target."""
        for at, flight in enumerate(self.flights):
            if _POISON in flight:
                self.crashes += 1
                flight.clear()
                self._handle(at, TargetCrashed())

    @invariant()
    def few_targets_are_lost(self):
        """At most two crashes, and no harmless call is condemned."""
        assert self.crashes <= 2
        assert not self.wrongly_condemned

    def _start(self, at, name):
        if name in self.flights[at]:
            return
        for action in self._handle(at, _starting(name, name)):
            if isinstance(action, Proceed):
                self.flights[at][name] = None
            if isinstance(action, FailCondemned) and name != _POISON:
                self.wrongly_condemned += 1

    def _handle(self, at, event):
        self.now += 0.01
        actions = self.nodes[at].handle(event, self.now)
        for action in actions:
            if isinstance(action, NotifyPeers):
                self._report_to_peers(at, PeerReported(reports=action.reports))
        return actions

    def _report_to_peers(self, at, reported):
        for peer, node in enumerate(self.nodes):
            if peer != at:
                node.handle(reported, self.now)


TestPoisonMachine = PoisonMachine.TestCase
TestPoisonMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
)


class SeveralCrashesMachine(PoisonMachine):
    """The same with a quarantine that needs three crashes."""

    limits = QuarantineSettings(crashes_to_suspect=2, crashes_to_condemn=3)

    @invariant()
    def few_targets_are_lost(self):
        """At most three crashes, and no harmless call is condemned."""
        assert self.crashes <= 3
        assert not self.wrongly_condemned


TestSeveralCrashesMachine = SeveralCrashesMachine.TestCase
TestSeveralCrashesMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
)


class _CondemnsAllInFlight(Quarantine):
    def _suspicion_after_crash(self, call):
        return Suspicion.CONDEMNED


class _ForgetsSuspects(Quarantine):
    def _apply_report(self, report, now):
        """Ignore the report."""


class TestNaiveQuarantine:
    """The state machine detects a quarantine that is too strict or too lax."""

    @pytest.mark.parametrize('naive', [_CondemnsAllInFlight, _ForgetsSuspects])
    def test_is_detected(self, naive):
        """A fixed sequence of events violates the invariant."""
        machine = PoisonMachine()
        machine.nodes = [naive(QuarantineSettings()) for _ in range(_NODES)]
        for at in range(_NODES):
            machine.start(at, 0)
            machine.start_poison(at)
            machine.crash()
        machine.start(0, 0)

        with pytest.raises(AssertionError):
            machine.few_targets_are_lost()
