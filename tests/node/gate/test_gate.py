"""The gate's composition of run-once, admission and quarantine."""

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
    LeaveBegun,
    Reply,
    TargetDown,
    TimePassed,
)
from lovageshunt.retries import Quarantine, QuarantineSettings

_SLOTS = 2
_HOME = HomeNode(node='n1', incarnation='a')
_KEYS = st.sampled_from(('k1', 'k2', 'k3'))


def make_gate():
    """Return a gate that is settled, with two slots."""
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
    """Calls arrive, run, end, are abandoned; the target goes down."""

    tickets = Bundle('tickets')

    def __init__(self):
        """Begin with a gate at time 10."""
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

    def tell(self, event):
        """Tell the gate, and note what it asks for."""
        for action in self.gate.handle(event, self.now):
            if isinstance(action, Forward):
                self.note_forward(action.ticket)
            if isinstance(action, CancelForward):
                assert action.ticket in self.running
            if isinstance(action, Reply):
                assert action.ticket not in self.replies
                self.replies[action.ticket] = action
                self.note_reply(action)

    def note_forward(self, ticket):
        """Note that a call goes to the target."""
        assert ticket not in self.running
        self.running.add(ticket)
        key = self.key_by_ticket[ticket]
        if key:
            self.forwards_by_key[key] = self.forwards_by_key.get(key, 0) + 1

    def note_reply(self, action):
        """Check what an arrival is told."""
        if action.ending.outcome is Outcome.ANSWERED:
            return
        assert action.retry_after_ms > 0
        if action.ending.outcome is Outcome.NOT_RUN:
            assert action.ticket not in self.running

    @rule(target=tickets, importance=st.integers(0, 7), rank=st.integers(0, 9))
    def lookup(self, importance, rank):
        """A call that may repeat arrives."""
        return self.arrive('', importance, rank, 1)

    @rule(target=tickets, key=_KEYS, is_stamped=st.booleans())
    def purchase(self, key, is_stamped):
        """An attempt of a call that must not repeat arrives."""
        attempt = int(key not in self.key_by_ticket.values())
        return self.arrive(key, 0, 0, attempt, is_stamped=is_stamped)

    def arrive(self, key, importance, rank, attempt, is_stamped=False):
        """Let a call arrive."""
        self.number += 1
        ticket = str(self.number)
        self.key_by_ticket[ticket] = key
        self.tell(
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
        """A running call comes back."""
        if ticket not in self.running:
            return
        self.running.discard(ticket)
        outcome = Outcome.ANSWERED if is_good else Outcome.FAILED
        self.tell(
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
        """A caller goes away."""
        self.tell(CallAbandoned(ticket, RefusalReason.CANCELLED))

    @rule()
    def crash(self):
        """The target goes down with all that runs."""
        self.tell(TargetDown())
        for ticket in tuple(self.running):
            self.end_cut(ticket)

    def end_cut(self, ticket):
        """Let a running call end without an answer."""
        self.running.discard(ticket)
        is_once = self.key_by_ticket[ticket]
        outcome = Outcome.UNKNOWN if is_once else Outcome.FAILED
        self.tell(
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
        self.tell(TimePassed())

    @rule()
    def pause(self):
        """The process wakes from a pause."""
        self.now += 5
        self.tell(Resumed(gap_seconds=5))

    @rule()
    def leave(self):
        """A planned stop begins."""
        self.is_leaving = True
        self.tell(LeaveBegun())

    @invariant()
    def slots_hold(self):
        """Never more calls run than the limit allows."""
        assert len(self.running) <= _SLOTS * 1.5

    @invariant()
    def slots_are_given_back(self):
        """Admission holds slots for the calls that run, and no others."""
        assert self.gate.load().running == len(self.running)

    @invariant()
    def run_at_most_once(self):
        """No call that must not repeat was forwarded twice."""
        assert all(times == 1 for times in self.forwards_by_key.values())

    @invariant()
    def nothing_is_lost(self):
        """What is neither answered nor in progress does not exist."""
        unanswered = set(self.key_by_ticket) - set(self.replies)
        assert self.gate.in_progress >= len(unanswered)


TestGateMachine = GateMachine.TestCase


class TestGate:
    """What the gate composes."""

    def test_reply_to_the_second_attempt_is_that_of_the_first(self):
        """Attempts of one call that meet get one outcome."""
        machine = GateMachine()
        first = machine.arrive('k', 0, 0, 1)
        second = machine.arrive('k', 0, 0, 0)
        machine.end(first, is_good=True)

        assert machine.replies[first].ending == machine.replies[second].ending

    def test_caller_gone_frees_its_slot_in_the_queue(self):
        """An abandoned call that waits is never forwarded."""
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

    def test_kinds_that_need_a_pressed_service_are_refused_first(self):
        """A threshold told by an answer refuses the kind, and no other."""
        machine = GateMachine()
        ticket = machine.arrive('', 5, 0, 1)
        machine.running.discard(ticket)
        for _ in range(20):
            again = machine.arrive('', 5, 0, 1)
            machine.running.discard(again)
            machine.tell(
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
        """Its inputs are old; it is refused and its slot given back."""
        machine = GateMachine()
        running = [machine.arrive('', 5, 0, 1) for _ in range(_SLOTS)]
        waiting = machine.arrive('k', 0, 0, 1)
        machine.tell(Resumed(gap_seconds=0.1))
        for ticket in running:
            machine.end(ticket, is_good=True)

        assert machine.replies[waiting].ending.outcome is Outcome.NOT_RUN
        assert machine.gate.load().running == 0
