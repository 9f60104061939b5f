"""Which calls run in a target whose callers tell no root request.

The calls of a target carry no word of the request above them, so no hop can
give one request the same verdict everywhere. Here work that is already under
way goes first, then the more important, then the nearer deadline; a call is
refused only when it could not end in time.
"""

from functools import singledispatchmethod
from heapq import heappop, heappush
from typing import Final

from lovageshunt.admission._events import (
    Action,
    Arrived,
    Cancelled,
    Dispatch,
    DrainStarted,
    Event,
    Finished,
    LoadReported,
    Refuse,
)
from lovageshunt.admission._queue import WaitingCall, WaitingQueue
from lovageshunt.admission._running import RunningCalls
from lovageshunt.calls import LoadReport, RefusalReason
from lovageshunt.errors import DuplicateCallError

#: Weight of one call in the mean service time.
_SERVICE_WEIGHT: Final = 0.05
#: The service time assumed before the first call ended, in seconds.
_FIRST_SERVICE_SECONDS: Final = 0.05
#: The share of its slots that is left free: targets slow down when they are
#: nearly full, and a full one refuses what its node has let through.
_SPARE_SHARE: Final = 0.05
_MS_PER_SECOND: Final = 1000


class TargetQueue:
    """Queues the calls to one target by importance, then by deadline.

    Every ``Arrived`` is answered by exactly one ``Dispatch`` or ``Refuse``,
    unless its caller cancels it while it waits. Every ``Dispatch`` must be
    followed by one ``Finished``, also after an ``Abort``.
    """

    __slots__ = (
        '_slots',
        '_most_waiting',
        '_queue',
        '_running',
        '_deadlines',
        '_service_seconds',
        '_is_draining',
    )

    def __init__(self, *, slots: int, most_waiting: int = 2000) -> None:
        """Begin with the published slots."""
        self._slots = slots
        self._most_waiting = most_waiting
        self._queue = WaitingQueue()
        self._running = RunningCalls()
        #: When calls stop waiting; those that left the queue stay in it.
        self._deadlines: list[tuple[float, str]] = []
        self._service_seconds = _FIRST_SERVICE_SECONDS
        self._is_draining = False

    @property
    def limit(self) -> int:
        """Return how many calls may be at the target at once."""
        return max(1, int(self._slots * (1 - _SPARE_SHARE)))

    @property
    def running_count(self) -> int:
        """Return how many calls are at the target."""
        return len(self._running)

    @property
    def backlog_slot_seconds(self) -> float:
        """Return the work that waits, in seconds of one slot."""
        return len(self._queue) * self._service_seconds

    def load(self) -> LoadReport:
        """Return the load for the next answer."""
        return LoadReport(
            running=self.running_count,
            waiting=len(self._queue),
            limit=self._slots,
            service_ms=self._service_seconds * _MS_PER_SECOND,
        )

    def next_wake(self) -> float | None:
        """Return the time by which ``Ticked`` is due, if any."""
        return self._deadlines[0][0] if self._deadlines else None

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return what is to be done, in order."""
        actions: list[Action] = []
        self._take(event, actions, now)
        self._expire(actions, now)
        self._fill(actions, now)
        return actions

    @singledispatchmethod
    def _take(self, event: Event, actions: list[Action], now: float) -> None:
        """Take no more from an event than that time has passed."""

    @_take.register
    def _arrived(
        self,
        event: Arrived,
        actions: list[Action],
        now: float,
    ) -> None:
        if event.call_id in self._queue or event.call_id in self._running:
            raise DuplicateCallError(event.call_id)
        call = WaitingCall(
            call_id=event.call_id,
            level=event.level,
            order=event.level,
            arrived_at=now,
            deadline=event.deadline,
        )
        if self._is_draining:
            actions.append(self._refusal(call, RefusalReason.LEAVING))
            return
        if not self._can_finish(call, event.queue_deadline, now):
            actions.append(self._refusal(call, RefusalReason.OVERLOAD))
            return
        self._queue.add(call)
        heappush(self._deadlines, (event.queue_deadline, call.call_id))
        if len(self._queue) > self._most_waiting:
            last = self._queue.remove(self._queue.last().call_id)
            actions.append(self._refusal(last, RefusalReason.QUEUE_FULL))

    @_take.register
    def _finished(
        self,
        event: Finished,
        actions: list[Action],
        now: float,
    ) -> None:
        call = self._running.finish(event.call_id)
        if call is None or event.was_shed:
            return
        seconds = now - call.started_at
        if event.was_complete or seconds > self._service_seconds:
            change = _SERVICE_WEIGHT * (seconds - self._service_seconds)
            self._service_seconds += change

    @_take.register
    def _cancelled(
        self,
        event: Cancelled,
        actions: list[Action],
        now: float,
    ) -> None:
        if event.call_id in self._queue:
            self._queue.remove(event.call_id)
            return
        actions.extend(self._running.abort(event.call_id))

    @_take.register
    def _load_reported(
        self,
        event: LoadReported,
        actions: list[Action],
        now: float,
    ) -> None:
        if event.slots > 0:
            self._slots = event.slots

    @_take.register
    def _drain_started(
        self,
        event: DrainStarted,
        actions: list[Action],
        now: float,
    ) -> None:
        self._is_draining = True
        for call in self._queue.ordered():
            self._queue.remove(call.call_id)
            actions.append(self._refusal(call, RefusalReason.LEAVING))

    def _can_finish(
        self,
        call: WaitingCall,
        queue_deadline: float,
        now: float,
    ) -> bool:
        if len(self._running) < self.limit:
            return now < call.deadline
        ahead = self._queue.ahead_of(call) + 1
        starts_at = now + ahead * self._service_seconds / self._slots
        ends_at = starts_at + self._service_seconds
        return starts_at <= queue_deadline and ends_at <= call.deadline

    def _fill(self, actions: list[Action], now: float) -> None:
        while self._queue and len(self._running) < self.limit:
            call = self._queue.remove(self._queue.first().call_id)
            self._running.start(
                call.call_id,
                now=now,
                deadline=call.deadline,
            )
            actions.append(Dispatch(call.call_id))

    def _expire(self, actions: list[Action], now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            call_id = heappop(self._deadlines)[1]
            if call_id in self._queue:
                call = self._queue.remove(call_id)
                actions.append(self._refusal(call, RefusalReason.DEADLINE))

    def _refusal(self, call: WaitingCall, reason: RefusalReason) -> Refuse:
        ahead = len(self._queue) + 1
        seconds = ahead * self._service_seconds / self._slots
        return Refuse(
            call_id=call.call_id,
            reason=reason,
            retry_after_ms=1 + int(seconds * _MS_PER_SECOND),
        )
