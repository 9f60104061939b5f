"""A target that limits the calls a second that it takes."""

from collections import Counter

from lovageshunt.admission import (
    AdmissionTicked,
    Admit,
    Arrived,
    Finished,
    RateLimitReported,
    TargetQueue,
)
from lovageshunt.calls import level_of

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
