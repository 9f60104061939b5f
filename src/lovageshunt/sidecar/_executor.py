"""Queues orders and runs them at the target beside this node."""

from asyncio import get_running_loop
from collections.abc import Callable
from functools import partial
from logging import getLogger
from typing import Final

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt._memory_account import MemoryAccount
from lovageshunt.admission import (
    Abort,
    Action,
    AdmissionTicked,
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
    TargetQueue,
)
from lovageshunt.calls import Outcome, level_of
from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import (
    ConnectionPool,
    Exchange,
    ExchangeEnd,
    Response,
)
from lovageshunt.links import RunAnswer, RunOrder
from lovageshunt.retries import FleetRetryBudget
from lovageshunt.sidecar._classification import classify_response
from lovageshunt.sidecar._crash_check import CrashCheck, log_crash
from lovageshunt.sidecar._header_names import HeaderNames
from lovageshunt.sidecar._metrics import SidecarMetrics
from lovageshunt.sidecar._resends import Resends
from lovageshunt.sidecar._run import EndedCallback, Run
from lovageshunt.sidecar._run_answers import (
    answer_of,
    refusal_of_departed,
    refusal_of_suspect,
    refusal_without_room,
)
from lovageshunt.sidecar._suspects import Suspects
from lovageshunt.sidecar._target_meters import TargetMeters
from lovageshunt.sidecar._wakeup import Wakeup

_log = getLogger(__name__)
#: The longest idle time of a connection that a non-repeatable request is sent
#: on, in seconds: a server seldom closes connections that were used recently.
_MAX_IDLE_SECONDS: Final = 1.0
#: How long after its deadline a running call is cancelled, in seconds.
#: Targets end calls at the deadline by themselves, so this is a fallback.
_CANCEL_DELAY_SECONDS: Final = 0.15
#: The largest part of its remaining time that a client's request waits for a
#: slot: a request that is refused then still has time for a retry.
_MAX_WAIT_PART: Final = 0.3
#: How an exchange ends if the connection to the target is lost.
_LOST_ENDS: Final = frozenset((ExchangeEnd.CLOSED, ExchangeEnd.INCOMPLETE))
#: Limit of connections to the target until the configuration sets it.
_INITIAL_MAX_CONNECTIONS: Final = 200


class Executor:
    """Queues orders, sends them to one target and classifies its responses.

    ``pool`` holds the connections to the target, ``queue`` the orders that
    wait or run, ``meters`` measure what runs in it. ``resend_budget`` limits
    how often a request is sent again because the target closed its
    connection. ``has_left`` tells whether a target must get no more calls;
    ``on_leaving`` is called when a target says in an answer that it leaves,
    ``on_refused`` when it refuses a connection. ``suspects`` decides which
    calls are kept from the target as they may crash it. ``rate_limit`` is the
    number of calls a second that the target takes, ``None`` without a limit.
    ``account`` counts what orders and responses take.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        slots: int,
        header_names: HeaderNames,
        metrics: SidecarMetrics,
        resend_budget: FleetRetryBudget,
        has_left: Callable[[str], bool],
        on_leaving: Callable[[str], None],
        on_refused: Callable[[], None],
        suspects: Suspects,
        account: MemoryAccount | None = None,
    ) -> None:
        self._suspects = suspects
        self._has_left = has_left
        self._on_leaving = on_leaving
        self._on_refused = on_refused
        self._header_names = header_names
        self._metrics = metrics
        self._account = account or MemoryAccount()
        self.pool = ConnectionPool(
            host, port, _INITIAL_MAX_CONNECTIONS, account=self._account
        )
        self._crash_check = CrashCheck(self.pool, self._on_checked)
        self.queue = TargetQueue(slots=slots)
        self._resends = Resends(resend_budget, self.queue, has_left)
        self.meters = TargetMeters()
        self._run_by_call_id: dict[str, Run] = {}
        self._published = ('', 0)
        self._next_number = 0
        self._repeats_running = 0
        self._is_stopping = False
        self.rate_limit: float | None = None
        self._wakeup = Wakeup(partial(self._handle, AdmissionTicked()))

    @property
    def is_empty(self) -> bool:
        """Whether no order is queued or running."""
        return not self._run_by_call_id

    @property
    def repeat_share(self) -> float:
        """The share of the runs in progress that are repeats, 0 to 1."""
        running = self.queue.running_count
        return self._repeats_running / running if running else 0

    def apply_published_slots(self, target_id: str, slots: int) -> None:
        """Apply the published slots of the target, if they changed.

        Slots that the target reports itself, in a response, override these.
        """
        if (target_id, slots) == self._published:
            return
        if target_id != self._published[0]:
            self.rate_limit = None
            self._handle(RateLimitReported(per_second=None))
        self._published = (target_id, slots)
        self._handle(LoadReported(running=0, slots=slots))

    def submit(
        self,
        order: RunOrder,
        ended: EndedCallback,
        *,
        received_bytes: int = 0,
    ) -> Run:
        """Queue an order; call ``ended`` once, unless it is abandoned.

        ``received_bytes`` is the memory that is held for it and that nobody
        else counts.
        """
        self._next_number += 1
        run = Run(
            str(self._next_number),
            order,
            ended,
            account=self._account,
            on_evicted=self._evict,
            received_bytes=received_bytes,
        )
        if self._has_left(order.target_id):
            self._answer(
                run, refusal_of_departed(self.meters.told(self.queue.load()))
            )
            return run
        run.hold_waiting()
        if run.ended is None:
            # There was no room for it.
            return run
        self._run_by_call_id[run.call_id] = run
        self.meters.demand.asked(order.kind)
        now = clock_now()
        self._resends.budget.requested(now)
        queue_deadline = order.deadline
        if order.importance > 0:
            queue_deadline = now + _MAX_WAIT_PART * (order.deadline - now)
        self._handle(
            Arrived(
                call_id=run.call_id,
                level=level_of(order.importance, 0),
                deadline=order.deadline,
                queue_deadline=queue_deadline,
            ),
        )
        return run

    def abandon(self, run: Run) -> Outcome | None:
        """Cancel an order, except a non-repeatable one that is running.

        Return its outcome, or ``None`` if it goes on or has ended.
        """
        if run.ended is None:
            return None
        if run.sending is not None and not run.order.is_repeatable:
            return None
        run.ended = None
        is_waiting = run.sending is None
        if is_waiting:
            self._run_by_call_id.pop(run.call_id, None)
            run.release()
        self._handle(Cancelled(run.call_id))
        return Outcome.NOT_RUN if is_waiting else Outcome.UNKNOWN

    def withdraw_departed(self) -> None:
        """Refuse the orders that have not been sent to a target that left.

        The queue decides on all of them at once, so that it dispatches none
        that is refused. An order that left it is sent once its connection is
        open; until then it can be withdrawn.
        """
        departed = [
            run
            for run in self._run_by_call_id.values()
            if self._has_left(run.order.target_id)
        ]
        sent = [run.sending for run in departed if run.sending is not None]
        waiting = len(departed) - len(sent)
        if waiting:
            _log.info(
                'target left, refusing the calls that wait',
                extra={'waiting': waiting, 'sent': len(sent)},
            )
        self._handle(TargetLeft(frozenset(run.call_id for run in departed)))
        for sending in sent:
            sending.withdraw()

    def advance(self, now: float) -> bool:
        """Close elapsed windows; return whether one of demand was closed."""
        self.meters.refusals.advance(now)
        return self.meters.demand.advance(
            now,
            slots=min(self.queue.limit, self.queue.capacity),
            backlog_slot_seconds=self.queue.backlog_slot_seconds,
        )

    def drain(self) -> None:
        """Refuse new orders, so that they are sent to other targets."""
        self._handle(DrainStarted())

    def stop(self) -> None:
        """End the running orders as unknown, so that their senders hear it.

        Those that wait are refused, as none is sent in the place of others.
        """
        self._is_stopping = True
        self.drain()
        for run in list(self._run_by_call_id.values()):
            run.cancel_exchange()

    def _evict(self, run: Run) -> None:
        """Refuse an order that there is no memory for, and that waits."""
        if run.call_id in self._run_by_call_id:
            self._handle(Cancelled(run.call_id))
        load = self.meters.told(self.queue.load())
        self._answer(run, refusal_without_room(load))

    def _handle(self, event: Event) -> None:
        now = clock_now()
        for action in self.queue.handle(event, now):
            self._perform(action)
        due = self.queue.next_wake(now)
        if due is not None:
            self._wakeup.call_by(due)

    @DispatchedMethod
    def _perform(self, action: Action) -> None:
        raise TypeError(type(action).__name__)

    @_perform.register
    def _dispatch(self, action: Admit) -> None:
        run = self._run_by_call_id.get(action.call_id)
        if run is None:
            # It was abandoned or evicted since the queue has decided.
            self._handle(
                Finished(action.call_id, was_complete=False, was_shed=True)
            )
            return
        retry_ms = self._suspects.start(run)
        if retry_ms is not None:
            self._answer(
                run,
                refusal_of_suspect(
                    retry_ms, self.meters.told(self.queue.load())
                ),
            )
            self._handle(
                Finished(run.call_id, was_complete=False, was_shed=True)
            )
            return
        run.sent_at = clock_now()
        run.hold_running()
        self._repeats_running += run.is_repeat
        self._send(run)
        delay = max(0, run.order.deadline - clock_now()) + _CANCEL_DELAY_SECONDS
        loop = get_running_loop()
        run.overdue = loop.call_later(delay, run.cancel_exchange)

    @_perform.register
    def _refuse(self, action: Refuse) -> None:
        run = self._run_by_call_id.get(action.call_id)
        if run is None:
            return
        self._answer(
            run,
            RunAnswer(
                outcome=Outcome.NOT_RUN,
                reason=action.reason,
                retry_after_ms=action.retry_after_ms,
                load=self.meters.told(self.queue.load()),
            ),
        )

    @_perform.register
    def _abort(self, action: Abort) -> None:
        run = self._run_by_call_id.get(action.call_id)
        if run is not None:
            run.cancel_exchange()

    def _send(self, run: Run) -> None:
        exchange = Exchange(
            encoded=run.encoded_head(self._header_names),
            body=run.order.body,
            identity=(self._header_names.attempt_id, run.order.attempt_id),
            has_body=run.order.method != b'HEAD',
            ended=lambda end, response: self._on_ended(run, end, response),
        )
        max_idle = None if run.order.is_repeatable else _MAX_IDLE_SECONDS
        run.sending = self.pool.send(exchange, max_idle)

    def _on_ended(
        self,
        run: Run,
        end: ExchangeEnd,
        response: Response | None,
    ) -> None:
        if self._is_stopping and end is ExchangeEnd.CANCELLED:
            # The response is lost to this node, but not the time of the call.
            end = ExchangeEnd.INCOMPLETE
        elif end in _LOST_ENDS and not self._has_left(run.order.target_id):
            run.lost_as = end
            self._crash_check.add(run)
            return
        self._end(run, end, response)

    def _on_checked(self, lost: list[Run], has_crashed: bool) -> None:
        """Resend or end the calls that lost their connections."""
        if has_crashed:
            self._metrics.count_target_crash()
            self._suspects.crash(lost)
            self._on_refused()
            log_crash(self._published[0], lost)
        for run in lost:
            is_closed = run.lost_as is ExchangeEnd.CLOSED
            if is_closed and not has_crashed and self._resends.take(run):
                self._repeats_running += not run.is_repeat
                run.note_resent()
                self._send(run)
            else:
                self._end(run, ExchangeEnd.INCOMPLETE, None)

    def _end(
        self,
        run: Run,
        end: ExchangeEnd,
        response: Response | None,
    ) -> None:
        if end is ExchangeEnd.REFUSED:
            self._on_refused()
        if run.overdue is not None:
            run.overdue.cancel()
        self._repeats_running -= run.is_repeat
        self._run_by_call_id.pop(run.call_id, None)
        classified = classify_response(end, response, self._header_names)
        self.meters.record(run, classified, response)
        is_answered = classified.outcome is Outcome.ANSWERED
        self._suspects.end(run, is_complete=is_answered)
        if classified.is_leaving:
            # Other nodes must hear it before the answer is passed on.
            self._on_leaving(run.order.target_id)
        reported = classified.reported
        if reported is not None and reported.slots != self.queue.slots:
            self._handle(reported)
        if classified.rate_limit is not None:
            self._apply_rate_limit(run.order.target_id, classified.rate_limit)
        self._handle(
            Finished(
                run.call_id,
                was_complete=is_answered,
                was_shed=classified.outcome is Outcome.NOT_RUN,
            ),
        )
        self._answer(
            run,
            answer_of(
                run, classified, response, self.meters.told(self.queue.load())
            ),
        )

    def _apply_rate_limit(
        self, target_id: str, reported: RateLimitReported
    ) -> None:
        """Apply the limit that the target names with an answer, or none.

        An answer of an earlier target at this address changes nothing.
        """
        if target_id != (self._published[0] or target_id):
            return
        if reported.per_second != self.rate_limit:
            _log.info(
                'target limits its calls',
                extra={'target': target_id, 'per_second': reported.per_second},
            )
        self.rate_limit = reported.per_second
        self._handle(reported)

    def _answer(self, run: Run, answer: RunAnswer) -> None:
        self._run_by_call_id.pop(run.call_id, None)
        run.release()
        seconds = clock_now() - run.arrived_at
        self._metrics.count_run(answer.outcome, answer.reason, seconds)
        ended = run.ended
        run.ended = None
        if ended is not None:
            ended(answer)
