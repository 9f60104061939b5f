"""The queue of a target whose callers do not identify the root request."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovageshunt.admission import (
    AdmissionTicked,
    Admit,
    Arrived,
    Cancelled,
    DrainStarted,
    Finished,
    LoadReported,
    RateLimitReported,
    Refuse,
    TargetLeft,
    TargetQueue,
)
from lovageshunt.calls import RefusalReason, level_of


def arrived(
    call_id: str,
    *,
    importance: int = 1,
    deadline: float = 10,
) -> Arrived:
    return Arrived(
        call_id=call_id,
        level=level_of(importance, 0),
        deadline=deadline,
    )


def full_queue() -> TargetQueue:
    """Return a queue of one slot in which call 'r' runs."""
    queue = TargetQueue(slots=1)
    queue.handle(arrived('r'), 0)
    return queue


class TestTargetQueue:
    """Order, refusals and the number of running calls."""

    def test_dispatches_while_there_are_slots(self) -> None:
        """A call that arrives while a slot is free is not queued."""
        assert TargetQueue(slots=2).handle(arrived('a'), 0) == [Admit('a')]

    def test_wakes_for_waiting_calls_only(self) -> None:
        """A call that was dispatched at once needs no later wake-up."""
        queue = TargetQueue(slots=2)
        queue.handle(arrived('a'), 0)
        assert queue.next_wake(0) is None

    def test_wakes_when_the_next_waiting_call_expires(self) -> None:
        """The deadline of a call that no longer waits is skipped."""
        queue = full_queue()
        queue.handle(arrived('early', deadline=1), 0)
        queue.handle(arrived('late', deadline=2), 0)
        queue.handle(Cancelled('early'), 0)
        assert queue.next_wake(0) == 2

    def test_leaves_some_slots_free(self) -> None:
        """Some slots of a target stay free, here 3 of 50."""
        queue = TargetQueue(slots=50)
        actions = [queue.handle(arrived(str(at)), 0) for at in range(50)]
        assert sum(bool(each) for each in actions) == 47

    def test_dispatches_work_in_progress_first(self) -> None:
        """A call made by a target precedes waiting requests of clients."""
        queue = full_queue()
        queue.handle(arrived('client', importance=1, deadline=1), 0)
        queue.handle(arrived('inner', importance=0, deadline=9), 0)
        finished = Finished('r', was_complete=True)
        assert queue.handle(finished, 0.1) == [Admit('inner')]

    def test_dispatches_the_nearer_deadline_first(self) -> None:
        """At equal importance the call with the nearer deadline is first."""
        queue = full_queue()
        queue.handle(arrived('late', deadline=9), 0)
        queue.handle(arrived('soon', deadline=3), 0)
        finished = Finished('r', was_complete=True)
        assert queue.handle(finished, 0.1) == [Admit('soon')]

    def test_refuses_at_once_what_cannot_end_in_time(self) -> None:
        """A call that would wait beyond its deadline is not queued."""
        queue = full_queue()
        for at in range(20):
            queue.handle(arrived(str(at)), 0)
        last = arrived('x', importance=2, deadline=0.5)
        actions = queue.handle(last, 0)
        assert isinstance(actions[0], Refuse)
        assert actions[0].reason is RefusalReason.OVERLOAD
        assert actions[0].retry_after_ms > 500

    def test_refuses_at_the_deadline(self) -> None:
        """A call that waits until its deadline is refused for it."""
        queue = full_queue()
        queue.handle(arrived('a', deadline=1), 0)
        actions = queue.handle(AdmissionTicked(), 1.1)
        assert isinstance(actions[0], Refuse)
        assert actions[0].reason is RefusalReason.DEADLINE

    def test_forgets_a_cancelled_call(self) -> None:
        """A call whose client has disconnected gets no slot."""
        queue = full_queue()
        queue.handle(arrived('a'), 0)
        assert not queue.handle(Cancelled('a'), 0.1)
        assert not queue.handle(Finished('r', was_complete=True), 0.2)

    def test_follows_the_slots_that_a_target_reports(self) -> None:
        """The target's own slots replace the published ones."""
        queue = full_queue()
        queue.handle(arrived('a'), 0)
        reported = LoadReported(running=1, slots=8)
        assert queue.handle(reported, 0.1) == [Admit('a')]

    def test_refuses_everything_when_leaving(self) -> None:
        """A drain refuses waiting and new calls as leaving."""
        queue = full_queue()
        queue.handle(arrived('a'), 0)
        actions = [
            *queue.handle(DrainStarted(), 0.1),
            *queue.handle(arrived('b'), 0.2),
        ]
        reasons = [each.reason for each in actions if isinstance(each, Refuse)]
        assert reasons == [RefusalReason.LEAVING] * 2

    def test_sends_nothing_that_waits_for_a_target_that_left(self) -> None:
        """Though more calls are due, those of the target are all refused."""
        queue = TargetQueue(slots=9)
        queue.handle(RateLimitReported(per_second=10), 0)
        for call_id in 'abcde':
            queue.handle(arrived(call_id), 0)
        actions = queue.handle(TargetLeft(frozenset('abcd')), 0.25)
        refused = [each for each in actions if isinstance(each, Refuse)]
        assert {each.call_id for each in refused} == set('bcd')
        assert {each.reason for each in refused} == {RefusalReason.LEAVING}
        assert actions[-1] == Admit('e')


class QueueMachine(RuleBasedStateMachine):
    """Feeds arbitrary events; each call gets exactly one outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = TargetQueue(slots=3)
        self.now = 0.0
        self.count = 0
        self.open: set[str] = set()
        self.running: set[str] = set()

    def handle(self, event: object) -> None:
        for action in self.queue.handle(event, self.now):  # type: ignore
            if isinstance(action, Admit):
                assert action.call_id in self.open
                self.open.remove(action.call_id)
                self.running.add(action.call_id)
            elif isinstance(action, Refuse):
                assert action.call_id in self.open
                self.open.remove(action.call_id)

    @rule(importance=st.integers(0, 8), seconds=st.floats(0, 2))
    def arrive(self, importance: int, seconds: float) -> None:
        self.count += 1
        call_id = str(self.count)
        self.open.add(call_id)
        self.handle(
            arrived(
                call_id,
                importance=importance,
                deadline=self.now + seconds,
            ),
        )

    @rule(was_complete=st.booleans(), was_shed=st.booleans())
    def finish(self, was_complete: bool, was_shed: bool) -> None:
        if self.running:
            call_id = self.running.pop()
            self.handle(
                Finished(call_id, was_complete=was_complete, was_shed=was_shed)
            )

    @rule(seconds=st.floats(0, 1))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.handle(AdmissionTicked())

    @rule()
    def cancel(self) -> None:
        if self.open:
            call_id = self.open.pop()
            self.handle(Cancelled(call_id))

    @rule(seconds=st.floats(0, 1))
    def be_late(self, seconds: float) -> None:
        self.now += seconds

    @rule(per_second=st.none() | st.floats(0, 20))
    def limit(self, per_second: float | None) -> None:
        self.handle(RateLimitReported(per_second=per_second))

    @rule(keeps=st.integers(0, 2))
    def leave(self, keeps: int) -> None:
        departed = frozenset(sorted(self.open)[keeps:])
        running = set(self.running)
        self.handle(TargetLeft(departed))
        assert not departed & self.open
        assert not departed & (self.running - running)

    @invariant()
    def runs_no_more_than_the_slots(self) -> None:
        assert len(self.running) <= 3

    @invariant()
    def forgets_no_call(self) -> None:
        load = self.queue.load()
        assert load.waiting == len(self.open)
        assert load.running == len(self.running)


TestQueueMachine = QueueMachine.TestCase
