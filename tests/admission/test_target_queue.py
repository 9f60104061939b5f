"""The queue beside a target whose callers tell no root request."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovageshunt.admission import (
    Arrived,
    Cancelled,
    Dispatch,
    DrainStarted,
    Finished,
    LoadReported,
    Refuse,
    TargetQueue,
    Ticked,
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
    """Order, refusals and room."""

    def test_dispatches_while_there_are_slots(self) -> None:
        """A call that finds a slot does not wait."""
        assert TargetQueue(slots=2).handle(arrived('a'), 0) == [Dispatch('a')]

    def test_leaves_some_slots_free(self) -> None:
        """A target is not filled to its last slot."""
        queue = TargetQueue(slots=50)
        actions = [queue.handle(arrived(str(at)), 0) for at in range(50)]
        assert sum(bool(each) for each in actions) == 47

    def test_takes_work_under_way_first(self) -> None:
        """The call of a target goes before waiting requests of clients."""
        queue = full_queue()
        queue.handle(arrived('client', importance=1, deadline=1), 0)
        queue.handle(arrived('inner', importance=0, deadline=9), 0)
        finished = Finished('r', was_complete=True)
        assert queue.handle(finished, 0.1) == [Dispatch('inner')]

    def test_takes_the_nearer_deadline_first(self) -> None:
        """Among equals the call with less time goes first."""
        queue = full_queue()
        queue.handle(arrived('late', deadline=9), 0)
        queue.handle(arrived('soon', deadline=3), 0)
        finished = Finished('r', was_complete=True)
        assert queue.handle(finished, 0.1) == [Dispatch('soon')]

    def test_refuses_at_once_what_cannot_end_in_time(self) -> None:
        """A call whose wait is longer than its time is refused early."""
        queue = full_queue()
        for at in range(20):
            queue.handle(arrived(str(at)), 0)
        last = arrived('x', importance=2, deadline=0.5)
        actions = queue.handle(last, 0)
        assert isinstance(actions[0], Refuse)
        assert actions[0].reason is RefusalReason.OVERLOAD
        assert actions[0].retry_after_ms > 500

    def test_refuses_at_the_deadline(self) -> None:
        """A call that waited until its deadline is told so."""
        queue = full_queue()
        queue.handle(arrived('a', deadline=1), 0)
        actions = queue.handle(Ticked(), 1.1)
        assert isinstance(actions[0], Refuse)
        assert actions[0].reason is RefusalReason.DEADLINE

    def test_forgets_a_cancelled_call(self) -> None:
        """A call whose client left takes no slot."""
        queue = full_queue()
        queue.handle(arrived('a'), 0)
        assert not queue.handle(Cancelled('a'), 0.1)
        assert not queue.handle(Finished('r', was_complete=True), 0.2)

    def test_follows_the_slots_that_a_target_reports(self) -> None:
        """Published slots may be wrong; the target's own word holds."""
        queue = full_queue()
        queue.handle(arrived('a'), 0)
        reported = LoadReported(running=1, slots=8)
        assert queue.handle(reported, 0.1) == [Dispatch('a')]

    def test_refuses_everything_when_leaving(self) -> None:
        """A drain tells waiting and new calls to go elsewhere."""
        queue = full_queue()
        queue.handle(arrived('a'), 0)
        actions = [
            *queue.handle(DrainStarted(), 0.1),
            *queue.handle(arrived('b'), 0.2),
        ]
        reasons = [each.reason for each in actions if isinstance(each, Refuse)]
        assert reasons == [RefusalReason.LEAVING] * 2


class QueueMachine(RuleBasedStateMachine):
    """Any order of events; every call gets exactly one verdict."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = TargetQueue(slots=3)
        self.now = 0.0
        self.count = 0
        self.open: set[str] = set()
        self.running: set[str] = set()

    def play(self, event: object) -> None:
        for action in self.queue.handle(event, self.now):  # type: ignore
            if isinstance(action, Dispatch):
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
        self.play(
            arrived(
                call_id,
                importance=importance,
                deadline=self.now + seconds,
            ),
        )

    @rule(is_good=st.booleans(), is_shed=st.booleans())
    def finish(self, is_good: bool, is_shed: bool) -> None:
        if self.running:
            call_id = self.running.pop()
            self.play(Finished(call_id, was_complete=is_good, was_shed=is_shed))

    @rule(seconds=st.floats(0, 1))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.play(Ticked())

    @rule()
    def cancel(self) -> None:
        if self.open:
            call_id = self.open.pop()
            self.play(Cancelled(call_id))

    @invariant()
    def runs_no_more_than_the_slots(self) -> None:
        assert len(self.running) <= 3

    @invariant()
    def forgets_no_call(self) -> None:
        load = self.queue.load()
        assert load.waiting == len(self.open)
        assert load.running == len(self.running)


TestQueueMachine = QueueMachine.TestCase
