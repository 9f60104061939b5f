"""A call that crashes targets is kept from crashing more of them."""

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
    """What one node does."""

    def test_unknown_call_proceeds(self, node):
        """There is no ground for suspicion."""
        assert node.handle(_starting('x'), 0) == [Proceed(call_id='x')]

    def test_suspects_run_one_at_a_time(self, node):
        """A second suspect is sent away while the first runs."""
        node.handle(_starting('x', 'one'), 0)
        node.handle(_starting('y', 'two'), 0)
        node.handle(TargetCrashed(), 0)
        node.handle(_starting('x', 'one'), 1)

        actions = node.handle(_starting('y', 'two'), 1)

        assert actions == [RefuseTemporarily(call_id='y', retry_after_ms=100)]

    def test_suspect_that_finishes_well_is_cleared(self, node):
        """It runs beside others again, also at peers."""
        node.handle(_starting('x'), 0)
        node.handle(TargetCrashed(), 0)
        node.handle(_starting('x'), 1)

        actions = node.handle(CallEnded(call_id='x', is_complete=True), 2)

        cleared = SuspectReport(
            fingerprint=_POISON,
            suspicion=Suspicion.CLEARED,
        )
        assert actions == [NotifyPeers(reports=(cleared,))]
        assert node.case_count == 0

    def test_second_crash_condemns(self, node):
        """The next resend is answered at once, with when to come back."""
        for now in (0, 1):
            node.handle(_starting('x'), now)
            node.handle(TargetCrashed(), now)

        actions = node.handle(_starting('x'), 2)

        assert actions == [FailCondemned(call_id='x', retry_after_ms=599_000)]

    def test_call_that_must_run_once_is_condemned_at_once(self, node):
        """It must not run again after any crash."""
        node.handle(_starting('x', is_repeatable=False), 0)
        node.handle(TargetCrashed(), 0)

        actions = node.handle(_starting('x', is_repeatable=False), 1)

        assert isinstance(actions[0], FailCondemned)

    def test_context_carries_suspicion_between_callers(self, node):
        """A node that heard no report believes the call's own context."""
        actions = node.handle(_starting('x', suspicion=2), 0)

        assert isinstance(actions[0], FailCondemned)

    def test_condemnation_expires(self, node):
        """The fault may be mended meanwhile."""
        node.handle(_starting('x', suspicion=2), 0)

        assert node.handle(_starting('x'), 601) == [Proceed(call_id='x')]

    def test_table_is_bounded(self, node):
        """The oldest case makes room."""
        reports = tuple(
            SuspectReport(fingerprint=str(at), suspicion=Suspicion.SUSPECTED)
            for at in range(9)
        )

        node.handle(PeerReported(reports=reports), 0)

        assert node.case_count == 3


class PoisonMachine(RuleBasedStateMachine):
    """Three targets, one request that crashes them, and innocent ones."""

    def __init__(self):
        """Start the nodes with nothing in flight."""
        super().__init__()
        made = QuarantineSettings()
        self.nodes = [Quarantine(made) for _ in range(_NODES)]
        self.flights = [{} for _ in range(_NODES)]
        self.now = 0
        self.crashes = 0
        self.wronged = 0

    @rule(at=_INDEX, innocent=st.integers(0, 4))
    def start(self, at, innocent):
        """An innocent call arrives."""
        self._start(at, str(innocent))

    @rule(at=_INDEX)
    def start_poison(self, at):
        """The request comes again, unless an attempt of it still runs."""
        if not any(_POISON in flight for flight in self.flights):
            self._start(at, _POISON)

    @rule(at=_INDEX)
    def end(self, at):
        """An innocent call finishes well."""
        for name in self.flights[at]:
            if name != _POISON:
                self.flights[at].pop(name)
                self._tell(at, CallEnded(call_id=name, is_complete=True))
                return

    @rule()
    def crash(self):
        """The request takes its target down."""
        for at, flight in enumerate(self.flights):
            if _POISON in flight:
                self.crashes += 1
                flight.clear()
                self._tell(at, TargetCrashed())

    @invariant()
    def few_targets_are_lost(self):
        """Two crashes at most, and no innocent call is condemned."""
        assert self.crashes <= 2
        assert not self.wronged

    def _start(self, at, name):
        if name in self.flights[at]:
            return
        for action in self._tell(at, _starting(name, name)):
            if isinstance(action, Proceed):
                self.flights[at][name] = None
            if isinstance(action, FailCondemned) and name != _POISON:
                self.wronged += 1

    def _tell(self, at, event):
        self.now += 0.01
        actions = self.nodes[at].handle(event, self.now)
        for action in actions:
            if isinstance(action, NotifyPeers):
                self._spread(at, PeerReported(reports=action.reports))
        return actions

    def _spread(self, at, heard):
        for peer, node in enumerate(self.nodes):
            if peer != at:
                node.handle(heard, self.now)


TestPoisonMachine = PoisonMachine.TestCase
TestPoisonMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
)


class _CondemnsAllInFlight(Quarantine):
    def _blame(self, call):
        return Suspicion.CONDEMNED


class _ForgetsSuspects(Quarantine):
    def _learn(self, report, now):
        """Keep nothing."""


class TestNaiveQuarantine:
    """The machine finds out a quarantine that does too much or too little."""

    @pytest.mark.parametrize('naive', [_CondemnsAllInFlight, _ForgetsSuspects])
    def test_is_found_out(self, naive):
        """One scene breaks the invariant."""
        machine = PoisonMachine()
        machine.nodes = [naive(QuarantineSettings()) for _ in range(_NODES)]
        for at in range(_NODES):
            machine.start(at, 0)
            machine.start_poison(at)
            machine.crash()
        machine.start(0, 0)

        with pytest.raises(AssertionError):
            machine.few_targets_are_lost()
