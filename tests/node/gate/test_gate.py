"""How the gate composes run-once, admission and quarantine.

The state machine checks the invariants under any order of arrivals, ends,
cancellations, crashes and pauses: one reply per arrival, at most one
forward per non-repeatable call, and no slot leaked.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from lovageshunt.admission import Admission, AdmissionSettings
from lovageshunt.calls import CallContext, HomeNode, Outcome, RefusalReason
from lovageshunt.idempotency import (
    Ending,
    Resumed,
    RunOnce,
    RunOnceSettings,
    Settled,
    StoredAnswer,
)
from lovageshunt.node import Gate
from lovageshunt.node.gate._messages import (
    CallAbandoned,
    CallArrived,
    CallEnded,
    CancelForward,
    Forward,
    GateTicked,
    LeaveBegun,
    Reply,
    TargetDown,
)
from lovageshunt.retries import Quarantine, QuarantineSettings

_SLOTS = 2
_HOME = HomeNode(node='n1', incarnation='a')
_KEYS = st.sampled_from(('k1', 'k2', 'k3'))


def make_gate():
    """Return a settled gate with ``_SLOTS`` slots."""
    gate = Gate(
        admission=Admission(AdmissionSettings(slots=_SLOTS), 0),
        run_once=RunOnce(
            node=_HOME.node,
            incarnation=_HOME.incarnation,
            service='payments',
            started_at=0,
            settings=RunOnceSettings(settle_seconds=0, transit_seconds=0),
        ),
        quarantine=Quarantine(QuarantineSettings()),
    )
    gate.handle(Settled(), 0)
    return gate


class GateMachine(RuleBasedStateMachine):
    """Calls arrive, run, end and are abandoned; the target crashes."""

    tickets = Bundle('tickets')

    def __init__(self):
        """Start with a new gate at time 10."""
        super().__init__()
        self.gate = make_gate()
        self.now = 10.0
        self.number = 0
        self.key_by_ticket = {}
        self.running = set()
        self.cancelled = set()
        self.replies = {}
        self.forwards_by_key = {}
        self.not_run_keys = set()
        self.is_leaving = False

    def handle(self, event):
        """Pass an event to the gate, and check and record its actions."""
        for action in self.gate.handle(event, self.now):
            if isinstance(action, Forward):
                self.record_forward(action.ticket)
            if isinstance(action, CancelForward):
                assert action.ticket in self.running
            if isinstance(action, Reply):
                assert action.ticket not in self.replies
                self.replies[action.ticket] = action
                self.check_reply(action)

    def record_forward(self, ticket):
        """Record a forward; a call must not run twice at a time."""
        assert ticket not in self.running
        self.running.add(ticket)
        key = self.key_by_ticket[ticket]
        if key:
            self.forwards_by_key[key] = self.forwards_by_key.get(key, 0) + 1

    def check_reply(self, action):
        """Check that a reply without an answer names a retry delay."""
        if action.ending.outcome is Outcome.ANSWERED:
            return
        assert action.retry_after_ms > 0
        if action.ending.outcome is Outcome.NOT_RUN:
            assert action.ticket not in self.running

    @rule(target=tickets, importance=st.integers(0, 7), rank=st.integers(0, 9))
    def lookup(self, importance, rank):
        """A repeatable call arrives."""
        return self.arrive('', importance, rank, 1)

    @rule(target=tickets, key=_KEYS, is_stamped=st.booleans())
    def purchase(self, key, is_stamped):
        """An attempt of a non-repeatable call arrives."""
        attempt = int(key not in self.key_by_ticket.values())
        return self.arrive(key, 0, 0, attempt, is_stamped=is_stamped)

    def arrive(self, key, importance, rank, attempt, is_stamped=False):
        """Let a call arrive; a repeatable one has an empty key."""
        self.number += 1
        ticket = str(self.number)
        self.key_by_ticket[ticket] = key
        self.handle(
            CallArrived(
                ticket=ticket,
                context=CallContext(
                    request_id=key or ticket,
                    call_id=key or ticket,
                    importance=importance,
                    rank=rank,
                    timeout_ms=1000,
                    attempt=attempt,
                    home=_HOME if is_stamped else None,
                ),
                is_repeatable=not key,
                fingerprint=key or f'f{rank}',
                deadline=self.now + 1,
                peers=(),
            ),
        )
        return ticket

    @rule(ticket=consumes(tickets), is_good=st.booleans())
    def end(self, ticket, is_good):
        """A running call ends at the target."""
        if ticket not in self.running:
            return
        self.running.discard(ticket)
        outcome = Outcome.ANSWERED if is_good else Outcome.FAILED
        self.handle(
            CallEnded(
                ticket=ticket,
                ending=Ending(
                    outcome=outcome,
                    answer=StoredAnswer(status=200, headers=(), body=b'x'),
                ),
                is_complete=is_good,
            ),
        )

    @rule(ticket=tickets)
    def abandon(self, ticket):
        """A caller disconnects."""
        self.handle(CallAbandoned(ticket, RefusalReason.CANCELLED))

    @rule()
    def crash(self):
        """The target crashes, and every running call ends unanswered."""
        self.handle(TargetDown())
        for ticket in tuple(self.running):
            self.end_without_answer(ticket)

    def end_without_answer(self, ticket):
        """End a running call without an answer."""
        self.running.discard(ticket)
        key = self.key_by_ticket[ticket]
        outcome = Outcome.UNKNOWN if key else Outcome.FAILED
        self.handle(
            CallEnded(
                ticket=ticket,
                ending=Ending(
                    outcome=outcome,
                    reason=RefusalReason.CONNECTION_LOST,
                ),
                is_complete=False,
            ),
        )

    @rule(seconds=st.floats(0.01, 2))
    def pass_time(self, seconds):
        """Time passes."""
        self.now += seconds
        self.handle(GateTicked())

    @rule()
    def pause(self):
        """The process resumes after a pause of 5 s."""
        self.now += 5
        self.handle(Resumed(gap_seconds=5))

    @rule()
    def leave(self):
        """A planned stop starts."""
        self.is_leaving = True
        self.handle(LeaveBegun())

    @invariant()
    def slots_hold(self):
        """The number of running calls stays within the limit."""
        assert len(self.running) <= _SLOTS * 1.5

    @invariant()
    def slots_are_given_back(self):
        """Admission holds slots for exactly the running calls."""
        assert self.gate.load().running == len(self.running)

    @invariant()
    def run_at_most_once(self):
        """No non-repeatable call was forwarded twice."""
        assert all(times == 1 for times in self.forwards_by_key.values())

    @invariant()
    def nothing_is_lost(self):
        """Every call without a reply is still in progress."""
        unanswered = set(self.key_by_ticket) - set(self.replies)
        assert self.gate.in_progress >= len(unanswered)


TestGateMachine = GateMachine.TestCase


class TestGate:
    """Single scenarios."""

    def test_reply_to_the_second_attempt_is_that_of_the_first(self):
        """Concurrent attempts of one call get the same outcome."""
        machine = GateMachine()
        first = machine.arrive('k', 0, 0, 1)
        second = machine.arrive('k', 0, 0, 0)
        machine.end(first, is_good=True)

        assert machine.replies[first].ending == machine.replies[second].ending

    def test_caller_gone_frees_its_slot_in_the_queue(self):
        """An abandoned call is removed from the queue and never forwarded."""
        machine = GateMachine()
        tickets = [machine.arrive('', 5, 0, 1) for _ in range(_SLOTS + 1)]
        machine.abandon(tickets[-1])
        machine.end(tickets[0], is_good=True)

        assert tickets[-1] not in machine.running

    def test_purchase_goes_on_without_its_caller(self):
        """The outcome is kept for the caller's next attempt."""
        machine = GateMachine()
        first = machine.arrive('k', 0, 0, 1)
        machine.abandon(first)
        machine.end(first, is_good=True)
        second = machine.arrive('k', 0, 0, 0)

        assert machine.replies[second].ending.outcome is Outcome.ANSWERED

    def test_refusal_by_the_target_does_not_acquit_a_suspect(self):
        """The call did not run, so that it proved nothing."""
        machine = GateMachine()
        machine.arrive('', 5, 0, 1)
        machine.crash()
        again = machine.arrive('', 5, 0, 1)
        machine.running.discard(again)
        machine.handle(
            CallEnded(
                ticket=again,
                ending=Ending(
                    outcome=Outcome.NOT_RUN, reason=RefusalReason.OVERLOAD
                ),
                is_complete=True,
                was_shed=True,
            ),
        )

        machine.arrive('', 5, 0, 1)
        machine.crash()
        last = machine.arrive('', 5, 0, 1)

        assert machine.replies[last].ending.reason is RefusalReason.QUARANTINE

    def test_kind_that_needs_an_overloaded_service_is_refused(self):
        """A downstream threshold of 0 in an answer sheds calls of its kind."""
        machine = GateMachine()
        ticket = machine.arrive('', 5, 0, 1)
        machine.running.discard(ticket)
        for _ in range(20):
            again = machine.arrive('', 5, 0, 1)
            machine.running.discard(again)
            machine.handle(
                CallEnded(
                    ticket=again,
                    ending=Ending(outcome=Outcome.ANSWERED),
                    is_complete=True,
                    threshold_by_service={'records': 0},
                ),
            )
        refused = machine.arrive('', 5, 60_000, 1)

        assert machine.replies[refused].ending.reason is RefusalReason.OVERLOAD

    def test_purchase_that_waited_through_a_pause_is_not_forwarded(self):
        """It is refused as stale, and its slot is released."""
        machine = GateMachine()
        running = [machine.arrive('', 5, 0, 1) for _ in range(_SLOTS)]
        waiting = machine.arrive('k', 0, 0, 1)
        machine.handle(Resumed(gap_seconds=0.1))
        for ticket in running:
            machine.end(ticket, is_good=True)

        assert machine.replies[waiting].ending.outcome is Outcome.NOT_RUN
        assert machine.gate.load().running == 0
