"""A target that limits the calls a second that it takes."""

from collections import Counter

from lovageshunt.admission import (
    AdmissionTicked,
    Admit,
    Arrived,
    Finished,
    RateLimitReported,
    Refuse,
    TargetQueue,
)
from lovageshunt.calls import RefusalReason, level_of

_STEP_SECONDS = 0.01
#: The window in which the calls of a limited target are counted.
_WINDOW_SECONDS = 4.0


class Load:
    """Calls that arrive evenly at one target and run for 50 ms.

    ``admitted`` are the times and importances of those that were sent.
    """

    def __init__(self, queue: TargetQueue, *, seconds_to_wait: float) -> None:
        self.queue = queue
        self.seconds_to_wait = seconds_to_wait
        self.now = float(0)
        self.admitted: list[tuple[float, int]] = []
        self.arrived = 0
        self._ends: list[tuple[float, str]] = []

    def play(self, seconds: float, *, per_second: float) -> None:
        """Let calls of importance 1, 2 and 3 arrive in turn."""
        until = self.now + seconds
        due = self.now
        while self.now < until:
            self.now += _STEP_SECONDS
            self._finish()
            self._handle(AdmissionTicked())
            while due < self.now:
                due += 1 / per_second
                self._arrive()

    def most_in_a_window(self) -> int:
        """Return the largest number of calls sent within one window."""
        times = [at for at, _ in self.admitted]
        return max(
            sum(start <= at <= start + _WINDOW_SECONDS for at in times)
            for start in times
        )

    def by_importance(self) -> Counter[int]:
        """Count the calls that were sent."""
        return Counter(importance for _, importance in self.admitted)

    def _arrive(self) -> None:
        self.arrived += 1
        importance = 1 + self.arrived % 3
        deadline = self.now + self.seconds_to_wait
        self._handle(
            Arrived(
                call_id=f'{self.arrived}',
                level=level_of(importance, 0),
                deadline=deadline,
            ),
        )

    def _handle(self, event: object) -> None:
        for action in self.queue.handle(event, self.now):  # type: ignore[arg-type]
            if isinstance(action, Admit):
                importance = 1 + int(action.call_id) % 3
                self.admitted.append((self.now, importance))
                self._ends.append((self.now + 0.05, action.call_id))

    def _finish(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            call_id = self._ends.pop(0)[1]
            self._handle(Finished(call_id, was_complete=True))


def limited(per_second: float | None, seconds_to_wait: float = 1) -> Load:
    """Return a load on a target that has just named a limit."""
    queue = TargetQueue(slots=40)
    queue.handle(RateLimitReported(per_second=per_second), 0)
    return Load(queue, seconds_to_wait=seconds_to_wait)


class TestRateLimit:
    """How many calls a limited target gets, and which."""

    def test_a_target_gets_no_more_calls_than_it_names(self) -> None:
        """At ten times its limit, in any 4 s, it gets 1.5 times that + 5."""
        load = limited(4.4)
        load.play(20, per_second=44)
        allowed = 1.5 * 4.4 * _WINDOW_SECONDS + 5
        assert load.most_in_a_window() <= allowed

    def test_a_target_gets_the_calls_that_it_names(self) -> None:
        """Of the calls a second that it takes, at least nine tenths come."""
        load = limited(4.4)
        load.play(20, per_second=44)
        assert len(load.admitted) >= 0.9 * 4.4 * 20

    def test_scarce_calls_go_to_what_matters_most(self) -> None:
        """With a limit of a third of the load the best third gets it."""
        load = limited(10)
        load.play(20, per_second=30)
        sent = load.by_importance()
        assert sent[1] >= 0.9 * load.arrived / 3
        assert sent[1] > 5 * (sent[2] + sent[3])

    def test_a_limit_ends_with_an_answer_without_it(self) -> None:
        """After that, all calls are sent again."""
        load = limited(4.4)
        load.play(2, per_second=44)
        load.queue.handle(RateLimitReported(per_second=None), load.now)
        before = load.arrived - len(load.admitted)
        load.play(5, per_second=44)
        assert load.arrived - len(load.admitted) <= before + 1

    def test_a_limit_of_none_a_second_lets_some_calls_ask(self) -> None:
        """A few calls are sent, five in 4 s at the most."""
        load = limited(0)
        load.play(20, per_second=44)
        assert len(load.admitted) >= 5
        assert load.most_in_a_window() <= 5

    def test_a_small_change_of_the_limit_saves_up_no_calls(self) -> None:
        """A limit that is named anew ten times a second still holds."""
        load = limited(4.4)
        for at in range(100):
            named = 4.4 + at % 2 / 10
            limit = RateLimitReported(per_second=named)
            load.queue.handle(limit, load.now)
            load.play(0.1, per_second=44)
        assert load.most_in_a_window() <= 1.5 * 4.5 * _WINDOW_SECONDS + 5

    def test_refuses_at_once_what_would_wait_too_long(self) -> None:
        """Calls that wait when the limit is named may run elsewhere."""
        queue = TargetQueue(slots=1)
        for call_id in ('r', 'a', 'b'):
            queue.handle(
                Arrived(call_id=call_id, level=level_of(1, 0), deadline=1),
                0,
            )
        actions = queue.handle(RateLimitReported(per_second=0.8), 0)
        assert len(actions) == 1
        assert isinstance(actions[0], Refuse)
        assert actions[0].reason is RefusalReason.QUEUE_FULL
        assert actions[0].retry_after_ms >= 1000

    def test_reports_the_room_that_the_limit_leaves(self) -> None:
        """Ten calls a second of 50 ms each need one slot of 40."""
        load = limited(10)
        load.play(2, per_second=44)
        assert load.queue.load().limit == 1
        load.queue.handle(RateLimitReported(per_second=None), load.now)
        assert load.queue.load().limit == 40

    def test_counts_a_call_that_is_sent_again(self) -> None:
        """Its second sending takes the place of another call."""
        queue = TargetQueue(slots=40)
        queue.handle(RateLimitReported(per_second=1), 0)
        assert queue.take_another(0)
        assert not queue.take_another(0)
