"""Admission of calls to one target: dispatch, queueing and refusal."""

from heapq import heapify, heappop, heappush
from typing import Final

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt.admission._control import TargetControl
from lovageshunt.admission._events import (
    Action,
    Admit,
    Arrived,
    Cancelled,
    DrainStarted,
    Event,
    Finished,
    Refuse,
)
from lovageshunt.admission._levels import dispatch_order, is_refused
from lovageshunt.admission._queue import WaitingCall, WaitingQueue
from lovageshunt.admission._running import RunningCalls
from lovageshunt.admission._settings import AdmissionSettings
from lovageshunt.calls import LoadReport, RefusalReason
from lovageshunt.errors import DuplicateCallError

_MS_PER_SECOND: Final = 1000
#: Deadline entries kept beyond twice the number of calls present before the
#: entries of ended calls are purged.
_MAX_EXCESS_DEADLINES: Final = 1000


class Admission:
    """Admits the calls to one target.

    Every ``Arrived`` leads to exactly one ``Admit`` or ``Refuse``, unless
    its caller cancels it while it waits. Every ``Admit`` must be followed
    by one ``Finished``, also after an ``Abort``.

    The limit starts at the published slots, the threshold open.
    """

    __slots__ = (
        '_settings',
        '_control',
        '_queue',
        '_running',
        '_deadlines',
        '_now',
        '_drain_ends_at',
    )

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        self._settings = settings
        self._control = TargetControl(settings, now)
        self._queue = WaitingQueue()
        self._running = RunningCalls()
        self._deadlines: list[tuple[float, str]] = []
        self._now = now
        self._drain_ends_at: float | None = None

    @property
    def threshold(self) -> int:
        """Return the threshold; levels at or above it are refused."""
        return self._control.threshold

    @property
    def is_drained(self) -> bool:
        """Return whether a drain was started and no calls remain."""
        is_idle = not self._running and not self._queue
        return self._drain_ends_at is not None and is_idle

    def load(self) -> LoadReport:
        """Return the load to report with the next answer."""
        return LoadReport(
            running=len(self._running),
            waiting=len(self._queue),
            limit=self._control.slots,
            service_ms=self._control.service_seconds * _MS_PER_SECOND,
        )

    def next_wake(self, now: float) -> float:
        """Return the time by which ``AdmissionTicked`` is due."""
        due = max(now, self._control.window_ends_at)
        if self._deadlines:
            due = min(due, max(now, self._deadlines[0][0]))
        return due

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the actions to carry out, in order.

        Raises ``DuplicateCallError`` if a call arrives under the id of one
        that waits or runs.
        """
        self._now = max(self._now, now)
        actions: list[Action] = []
        self._control.advance(
            self._now,
            running=len(self._running),
            waiting=len(self._queue),
        )
        # The event is handled first, so that a call that it ends does not
        # expire as well.
        self._handle_event(event, actions)
        self._expire(actions)
        self._dispatch_waiting(actions)
        return actions

    @DispatchedMethod
    def _handle_event(self, event: Event, actions: list[Action]) -> None:
        """Ignore an event that has no handler of its own.

        ``LoadReported`` is one: latency and refusals are observed here
        directly, whereas the report lags and may be wrong.
        """

    @_handle_event.register
    def _on_arrived(self, event: Arrived, actions: list[Action]) -> None:
        if event.call_id in self._queue or event.call_id in self._running:
            raise DuplicateCallError(event.call_id)
        self._control.record_arrival(event.level)
        call = WaitingCall(
            call_id=event.call_id,
            level=event.level,
            order=dispatch_order(event.level, self._settings.floor_ranks),
            arrived_at=self._now,
            deadline=event.deadline,
        )
        reason = self._refusal_reason(call)
        if reason is RefusalReason.OVERLOAD and self._precedes_last(call):
            reason = self._replace_last(call, actions)
        if reason is not None:
            actions.append(self._refusal(call, reason))
            return
        self._queue.add(call)
        self._track_deadline(call)
        if len(self._queue) > self._settings.max_waiting:
            last = self._queue.remove(self._queue.last().call_id)
            actions.append(self._refusal(last, RefusalReason.QUEUE_FULL))

    @_handle_event.register
    def _on_finished(self, event: Finished, actions: list[Action]) -> None:
        call = self._running.finish(event.call_id)
        if call is None:
            return
        self._control.record_finish(
            self._now - call.started_at,
            self._now,
            was_complete=event.was_complete and not call.is_aborted,
            was_shed=event.was_shed,
        )

    @_handle_event.register
    def _on_cancelled(self, event: Cancelled, actions: list[Action]) -> None:
        if event.call_id in self._queue:
            self._queue.remove(event.call_id)
            return
        actions.extend(self._running.abort(event.call_id))

    @_handle_event.register
    def _on_drain_started(
        self,
        event: DrainStarted,
        actions: list[Action],
    ) -> None:
        if self._drain_ends_at is None:
            self._drain_ends_at = self._now + self._settings.drain_seconds
        for call in self._queue.ordered():
            self._queue.remove(call.call_id)
            actions.append(self._refusal(call, RefusalReason.LEAVING))

    def _track_deadline(self, call: WaitingCall) -> None:
        heappush(self._deadlines, (call.deadline, call.call_id))
        present = len(self._queue) + len(self._running)
        if len(self._deadlines) > _MAX_EXCESS_DEADLINES + 2 * present:
            # Entries with distant deadlines of calls that have ended would
            # accumulate.
            self._deadlines = [
                entry
                for entry in self._deadlines
                if entry[1] in self._queue or entry[1] in self._running
            ]
            heapify(self._deadlines)

    def _refusal_reason(self, call: WaitingCall) -> RefusalReason | None:
        if self._drain_ends_at is not None:
            return RefusalReason.LEAVING
        floor = self._settings.floor_ranks
        if is_refused(call.level, self.threshold, floor):
            return RefusalReason.OVERLOAD
        if not self._can_finish(call):
            return RefusalReason.DEADLINE
        return None

    def _precedes_last(self, call: WaitingCall) -> bool:
        """Return whether a worse call waits, admitted by an earlier threshold.

        The threshold in force is then no reason to refuse the better one.
        """
        return bool(self._queue) and self._queue.last().order > call.order

    def _replace_last(
        self, call: WaitingCall, actions: list[Action]
    ) -> RefusalReason | None:
        """Refuse the last waiting call for a better one that can finish."""
        if not self._can_finish(call):
            return RefusalReason.DEADLINE
        last = self._queue.remove(self._queue.last().call_id)
        actions.append(self._refusal(last, RefusalReason.OVERLOAD))
        return None

    def _can_finish(self, call: WaitingCall) -> bool:
        if not self._running:
            # The service time may be outdated, and only a call that runs
            # can update it.
            return self._now < call.deadline
        finish = self._control.estimated_finish(
            self._now,
            running=len(self._running),
            ahead=self._queue.ahead_of(call),
        )
        return finish <= call.deadline

    def _dispatch_waiting(self, actions: list[Action]) -> None:
        while self._queue and len(self._running) < self._control.slots:
            call = self._queue.remove(self._queue.first().call_id)
            if not self._can_finish(call):
                actions.append(self._refusal(call, RefusalReason.DEADLINE))
                continue
            self._running.start(
                call.call_id,
                now=self._now,
                deadline=call.deadline,
            )
            actions.append(Admit(call.call_id))
        if self._queue:
            self._control.record_saturation()

    def _expire(self, actions: list[Action]) -> None:
        while self._deadlines and self._deadlines[0][0] <= self._now:
            call_id = heappop(self._deadlines)[1]
            if self._queue.is_overdue(call_id, self._now):
                call = self._queue.remove(call_id)
                actions.append(self._refusal(call, RefusalReason.DEADLINE))
            if self._running.is_overdue(call_id, self._now):
                actions.extend(self._running.abort(call_id))
        if self._drain_ends_at is not None and self._now >= self._drain_ends_at:
            actions.extend(self._running.abort_all())

    def _refusal(self, call: WaitingCall, reason: RefusalReason) -> Refuse:
        return Refuse(
            call_id=call.call_id,
            reason=reason,
            retry_after_ms=self._control.retry_after_ms(call.level),
        )
