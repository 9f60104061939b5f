"""Admission to a target whose callers do not identify the root request.

Calls made by a target carry no reference to the request above them, so the
hops cannot refuse the same requests by rank. Instead, calls that belong to
work in progress are dispatched first, then the more important ones, then
those with the nearer deadline. A call is refused if it could not finish
before its deadline. A target may also limit the calls a second that it takes;
the same order decides which calls it gets.
"""

from heapq import heappop, heappush
from typing import Final

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt.admission._events import (
    Action,
    Admit,
    Arrived,
    Cancelled,
    DrainStarted,
    Event,
    Finished,
    LoadReported,
    RateLimitReported,
    Refuse,
    TargetLeft,
)
from lovageshunt.admission._queue import WaitingCall, WaitingQueue
from lovageshunt.admission._rate_limit import RateLimit
from lovageshunt.admission._running import RunningCalls
from lovageshunt.calls import LoadReport, RefusalReason
from lovageshunt.errors import DuplicateCallError

#: Weight of one call in the mean service time.
_SERVICE_WEIGHT: Final = 0.05
#: The service time assumed until the first call has finished.
_INITIAL_SERVICE_SECONDS: Final = 0.05
#: The share of the slots that is kept free: targets slow down when they are
#: nearly full, and a full one refuses calls that its node has admitted.
_RESERVED_SHARE: Final = 0.05
_MS_PER_SECOND: Final = 1000


class TargetQueue:
    """Queues the calls to one target by importance, then by deadline.

    Every ``Arrived`` leads to exactly one ``Admit`` or ``Refuse``, unless
    its caller cancels it while it waits. Every ``Admit`` must be followed
    by one ``Finished``, also after an ``Abort``.

    ``slots`` is the published concurrency of the target, replaced by what the
    target reports; ``max_waiting`` bounds the queue, in calls.
    """

    __slots__ = (
        '_slots',
        '_max_waiting',
        '_queue',
        '_running',
        '_rate_limit',
        '_queue_deadlines',
        '_service_seconds',
        '_is_draining',
    )

    def __init__(self, *, slots: int, max_waiting: int = 2000) -> None:
        self._slots = slots
        self._max_waiting = max_waiting
        self._queue = WaitingQueue()
        self._running = RunningCalls()
        self._rate_limit = RateLimit()
        #: A heap; entries of calls that have left the queue are dropped when
        #: they reach its top.
        self._queue_deadlines: list[tuple[float, str]] = []
        self._service_seconds = _INITIAL_SERVICE_SECONDS
        self._is_draining = False

    @property
    def slots(self) -> int:
        """Return the concurrency of the target, as last reported."""
        return self._slots

    @property
    def limit(self) -> int:
        """Return how many calls may run in the target at once."""
        return max(1, int(self._slots * (1 - _RESERVED_SHARE)))

    @property
    def capacity(self) -> int:
        """Return how many calls the target has room for on average.

        A target that limits the calls a second has no use for more slots than
        these occupy.
        """
        per_second = self._rate_limit.per_second
        if per_second is None:
            return self._slots
        used = max(1, round(per_second * self._service_seconds))
        return min(self._slots, used)

    @property
    def running_count(self) -> int:
        """Return how many calls run in the target."""
        return len(self._running)

    @property
    def backlog_slot_seconds(self) -> float:
        """Return the expected work of the waiting calls in slot-seconds."""
        return len(self._queue) * self._service_seconds

    def load(self) -> LoadReport:
        """Return the load to report with the next answer."""
        return LoadReport(
            running=self.running_count,
            waiting=len(self._queue),
            limit=self.capacity,
            service_ms=self._service_seconds * _MS_PER_SECOND,
        )

    def next_wake(self, now: float) -> float | None:
        """Return the time by which ``AdmissionTicked`` is due, if any."""
        if not self._queue:
            self._queue_deadlines.clear()
            return None
        while self._queue_deadlines[0][1] not in self._queue:
            heappop(self._queue_deadlines)
        due = self._queue_deadlines[0][0]
        if len(self._running) < self.limit:
            return min(due, now + self._rate_limit.wait_seconds(1, now))
        return due

    def take_another(self, now: float) -> bool:
        """Count a call that is sent once more; return whether it may be."""
        return self._rate_limit.take(now)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the actions to carry out, in order.

        Raises ``DuplicateCallError`` if a call arrives under the id of one
        that waits or runs.
        """
        actions: list[Action] = []
        self._handle_event(event, actions, now)
        self._expire(actions, now)
        self._dispatch_waiting(actions, now)
        return actions

    @DispatchedMethod
    def _handle_event(
        self, event: Event, actions: list[Action], now: float
    ) -> None:
        """Ignore an event without a handler, such as ``AdmissionTicked``."""

    @_handle_event.register
    def _on_arrived(
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
            actions.append(self._refusal(call, RefusalReason.LEAVING, now))
            return
        reason = self._shortage(call, event.queue_deadline, now)
        if reason is not None:
            actions.append(self._refusal(call, reason, now))
            return
        self._queue.add(call)
        heappush(self._queue_deadlines, (event.queue_deadline, call.call_id))
        if len(self._queue) > self._max_waiting:
            last = self._queue.remove(self._queue.last().call_id)
            actions.append(self._refusal(last, RefusalReason.QUEUE_FULL, now))

    @_handle_event.register
    def _on_finished(
        self,
        event: Finished,
        actions: list[Action],
        now: float,
    ) -> None:
        call = self._running.finish(event.call_id)
        if call is None or event.was_shed:
            return
        seconds = now - call.started_at
        # A call without a complete answer would have taken longer still.
        if event.was_complete or seconds > self._service_seconds:
            change = _SERVICE_WEIGHT * (seconds - self._service_seconds)
            self._service_seconds += change

    @_handle_event.register
    def _on_cancelled(
        self,
        event: Cancelled,
        actions: list[Action],
        now: float,
    ) -> None:
        if event.call_id in self._queue:
            self._queue.remove(event.call_id)
            return
        actions.extend(self._running.abort(event.call_id))

    @_handle_event.register
    def _on_load_reported(
        self,
        event: LoadReported,
        actions: list[Action],
        now: float,
    ) -> None:
        if event.slots > 0:
            self._slots = event.slots

    @_handle_event.register
    def _on_rate_limit_reported(
        self,
        event: RateLimitReported,
        actions: list[Action],
        now: float,
    ) -> None:
        if event.per_second == self._rate_limit.per_second:
            return
        self._rate_limit.change(event.per_second, now)
        due_by_call_id = {
            call_id: due for due, call_id in self._queue_deadlines
        }
        for call in self._queue.ordered():
            ahead = self._queue.ahead_of(call)
            sent_at = self._rate_limit.send_time(ahead, now)
            if sent_at > due_by_call_id[call.call_id]:
                self._queue.remove(call.call_id)
                reason = RefusalReason.QUEUE_FULL
                actions.append(self._refusal(call, reason, now))

    @_handle_event.register
    def _on_drain_started(
        self,
        event: DrainStarted,
        actions: list[Action],
        now: float,
    ) -> None:
        self._is_draining = True
        for call in self._queue.ordered():
            self._queue.remove(call.call_id)
            actions.append(self._refusal(call, RefusalReason.LEAVING, now))

    @_handle_event.register
    def _on_target_left(
        self,
        event: TargetLeft,
        actions: list[Action],
        now: float,
    ) -> None:
        for call in self._queue.ordered():
            if call.call_id in event.call_ids:
                self._queue.remove(call.call_id)
                # The wait at this target says nothing of others.
                actions.append(
                    Refuse(
                        call_id=call.call_id,
                        reason=RefusalReason.LEAVING,
                        retry_after_ms=0,
                    ),
                )

    def _shortage(
        self,
        call: WaitingCall,
        queue_deadline: float,
        now: float,
    ) -> RefusalReason | None:
        """Return why a call cannot be sent and finished in time, if so.

        A limit of calls is a matter of this target alone, so that another one
        may have room for the call.
        """
        sent_at = self._rate_limit.send_time(self._queue.ahead_of(call), now)
        if sent_at > min(queue_deadline, call.deadline):
            return RefusalReason.QUEUE_FULL
        if len(self._running) < self.limit:
            return None if now < call.deadline else RefusalReason.OVERLOAD
        ahead = self._queue.ahead_of(call) + 1
        starts_at = now + ahead * self._service_seconds / self._slots
        ends_at = starts_at + self._service_seconds
        if starts_at <= queue_deadline and ends_at <= call.deadline:
            return None
        return RefusalReason.OVERLOAD

    def _dispatch_waiting(self, actions: list[Action], now: float) -> None:
        while self._queue and len(self._running) < self.limit:
            if not self._rate_limit.take(now):
                return
            call = self._queue.remove(self._queue.first().call_id)
            self._running.start(
                call.call_id,
                now=now,
                deadline=call.deadline,
            )
            actions.append(Admit(call.call_id))

    def _expire(self, actions: list[Action], now: float) -> None:
        while self._queue_deadlines and self._queue_deadlines[0][0] <= now:
            call_id = heappop(self._queue_deadlines)[1]
            if call_id in self._queue:
                call = self._queue.remove(call_id)
                actions.append(self._refusal(call, RefusalReason.DEADLINE, now))

    def _refusal(
        self, call: WaitingCall, reason: RefusalReason, now: float
    ) -> Refuse:
        ahead = len(self._queue) + 1
        seconds = ahead * self._service_seconds / self._slots
        seconds = max(seconds, self._rate_limit.wait_seconds(ahead, now))
        return Refuse(
            call_id=call.call_id,
            reason=reason,
            retry_after_ms=1 + int(seconds * _MS_PER_SECOND),
        )
