"""Runs orders at the target beside this node."""

from asyncio import TimerHandle, get_running_loop
from functools import singledispatchmethod
from logging import getLogger
from typing import Final

from lovageshunt.admission import (
    Abort,
    Action,
    Arrived,
    Cancelled,
    Dispatch,
    DrainStarted,
    Event,
    Finished,
    LoadReported,
    Refuse,
    TargetQueue,
    Ticked,
)
from lovageshunt.calls import Outcome, RefusalReason, level_of
from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import (
    ConnectionPool,
    Exchange,
    ExchangeEnd,
    Response,
    forwarded_fields,
)
from lovageshunt.links import RunAnswer, RunOrder
from lovageshunt.pressure import (
    CallSampler,
    DemandSettings,
    RefusalMeter,
    TargetDemandMeter,
)
from lovageshunt.retries import FleetRetryBudget
from lovageshunt.sidecar._dialect import Dialect
from lovageshunt.sidecar._meters import Meters
from lovageshunt.sidecar._reading import ReadAnswer, read_response
from lovageshunt.sidecar._run import Ended, Run

_log = getLogger(__name__)
#: A request that must not be repeated meets only connections that were used
#: so lately, in seconds: a server seldom closes those.
_FRESH_SECONDS: Final = 1.0
#: The time after its deadline at which a call that still runs is cut off, in
#: seconds: targets end it at the deadline by themselves.
_OVERDUE_SECONDS: Final = 0.15
#: The part of its time that a client's request waits for a slot at most: one
#: that is refused then can still come back.
_WAIT_PART: Final = 0.3
#: Answers from this status on tell that a run failed.
_FIRST_ERROR: Final = 500
#: Connections to the target until the configuration tells how many it bears.
_FIRST_CONNECTIONS: Final = 200


class Executor:
    """Queues orders, sends them to the target and reads what it answers."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        slots: int,
        dialect: Dialect,
        meters: Meters,
        resends: FleetRetryBudget,
    ) -> None:
        """Serve the target at an address.

        ``resends`` bounds how often a request is sent again that met a
        closing connection.
        """
        self._resends = resends
        self._dialect = dialect
        self._meters = meters
        #: The connections to the target.
        self.pool = ConnectionPool(host, port, _FIRST_CONNECTIONS)
        self._queue = TargetQueue(slots=slots)
        #: What is asked of the target, and what runs in it.
        self.demand = TargetDemandMeter(DemandSettings(), clock_now())
        self.watch = CallSampler(clock_now())
        #: What the target refuses although there was a slot.
        self.refusals = RefusalMeter(clock_now())
        self._run_by_call_id: dict[str, Run] = {}
        self._published = ('', 0)
        self._next_number = 0
        self._repeats_running = 0
        self._tick: TimerHandle | None = None
        self._tick_due = float(0)

    @property
    def is_empty(self) -> bool:
        """Tell whether no order is here."""
        return not self._run_by_call_id

    @property
    def queue(self) -> TargetQueue:
        """Return the queue, for those who tell others of it."""
        return self._queue

    @property
    def repeat_share(self) -> float:
        """Return the part of the runs in progress that are repeats."""
        running = self._queue.running_count
        return self._repeats_running / running if running else 0

    def serve_target(self, target_id: str, slots: int) -> None:
        """Take what is published of the target, once it has changed.

        Its own word on its slots, in an answer, goes before these.
        """
        if (target_id, slots) == self._published:
            return
        self._published = (target_id, slots)
        self._tell(LoadReported(running=0, slots=slots))

    def ordered(self, order: RunOrder, ended: Ended) -> Run:
        """Run an order; ``ended`` is called once, unless it is abandoned."""
        self._next_number += 1
        run = Run(str(self._next_number), order, ended)
        self._run_by_call_id[run.call_id] = run
        self.demand.asked(order.kind)
        now = clock_now()
        self._resends.requested(now)
        waits_until = order.deadline
        if order.importance > 0:
            waits_until = now + _WAIT_PART * (order.deadline - now)
        self._tell(
            Arrived(
                call_id=run.call_id,
                level=level_of(order.importance, 0),
                deadline=order.deadline,
                waits_until=waits_until,
            ),
        )
        return run

    def abandoned(self, run: Run) -> None:
        """Give up an order; one that must not be repeated runs to its end."""
        if run.ended is None:
            return
        if run.sending is not None and not run.order.is_repeatable:
            return
        run.ended = None
        if run.sending is None:
            self._run_by_call_id.pop(run.call_id, None)
        self._tell(Cancelled(run.call_id))

    def advance(self, now: float) -> bool:
        """Close a window of the demand that is over; tell whether one was."""
        self.refusals.advance(now)
        return self.demand.advance(
            now,
            slots=self._queue.limit,
            backlog_slot_seconds=self._queue.backlog_slot_seconds,
        )

    def drain(self) -> None:
        """Refuse new orders, which then go elsewhere."""
        self._tell(DrainStarted())

    def _tell(self, event: Event) -> None:
        for action in self._queue.handle(event, clock_now()):
            self._act(action)
        self._set_tick()

    def _set_tick(self) -> None:
        due = self._queue.next_wake()
        if due is None:
            return
        if self._tick is not None:
            if self._tick_due <= due:
                return
            self._tick.cancel()
        self._tick_due = due
        delay = max(0, due - clock_now())
        self._tick = get_running_loop().call_later(delay, self._on_tick)

    def _on_tick(self) -> None:
        self._tick = None
        self._tell(Ticked())

    @singledispatchmethod
    def _act(self, action: Action) -> None:
        raise TypeError(type(action).__name__)

    @_act.register
    def _dispatch(self, action: Dispatch) -> None:
        run = self._run_by_call_id[action.call_id]
        run.sent_at = clock_now()
        self._repeats_running += run.is_repeat
        self._send(run)
        delay = max(0, run.order.deadline - clock_now()) + _OVERDUE_SECONDS
        loop = get_running_loop()
        run.overdue = loop.call_later(delay, self._cut_off, run)

    @_act.register
    def _refuse(self, action: Refuse) -> None:
        run = self._run_by_call_id.pop(action.call_id)
        self._answer(
            run,
            RunAnswer(
                outcome=Outcome.NOT_RUN,
                reason=action.reason,
                retry_after_ms=action.retry_after_ms,
                load=self._queue.load(),
            ),
        )

    @_act.register
    def _abort(self, action: Abort) -> None:
        run = self._run_by_call_id.get(action.call_id)
        if run is not None and run.sending is not None:
            run.sending.cancel()

    def _send(self, run: Run) -> None:
        exchange = Exchange(
            encoded=run.encoded(self._dialect),
            identity=(self._dialect.attempt_id, run.order.attempt_id),
            has_body=run.order.method != b'HEAD',
            ended=lambda end, response: self._on_ended(run, end, response),
        )
        fresh = None if run.order.is_repeatable else _FRESH_SECONDS
        run.sending = self.pool.send(exchange, fresh)

    def _cut_off(self, run: Run) -> None:
        """End a call that is past its deadline."""
        if run.sending is not None:
            run.sending.cancel()

    def _on_ended(
        self,
        run: Run,
        end: ExchangeEnd,
        response: Response | None,
    ) -> None:
        if end is ExchangeEnd.CLOSED and self._may_resend(run):
            # The target closed a kept connection as the request came.
            run.resent = True
            self._repeats_running += not run.is_repeat
            run.is_repeat = True
            self._send(run)
            return
        if run.overdue is not None:
            run.overdue.cancel()
        self._repeats_running -= run.is_repeat
        self._run_by_call_id.pop(run.call_id, None)
        read = read_response(end, response, self._dialect)
        now = clock_now()
        is_good = response is not None and response.status < _FIRST_ERROR
        is_good = is_good and read.outcome is Outcome.ANSWERED
        self.watch.ended(run.order.kind, run.sent_at, now, is_good=is_good)
        self.refusals.ended(was_refused=read.reason is RefusalReason.SHED)
        if is_good:
            self.demand.ran(run.order.kind, now - run.sent_at)
        elif read.outcome is not Outcome.NOT_RUN:
            self.demand.failed(run.order.kind, now - run.sent_at)
        if read.reported is not None:
            self._tell(read.reported)
        self._tell(
            Finished(
                run.call_id,
                was_good=read.outcome is Outcome.ANSWERED,
                was_shed=read.outcome is Outcome.NOT_RUN,
            ),
        )
        self._answer(run, self._answer_of(run, read, response))

    def _may_resend(self, run: Run) -> bool:
        if run.resent or not run.order.is_repeatable:
            return False
        return self._resends.spend(clock_now())

    def _answer_of(
        self,
        run: Run,
        read: ReadAnswer,
        response: Response | None,
    ) -> RunAnswer:
        load = self._queue.load()
        if read.outcome is Outcome.ANSWERED and response is not None:
            return RunAnswer(
                outcome=read.outcome,
                load=load,
                status=response.status,
                fields=forwarded_fields(response.headers, frozenset()),
                body=response.body,
            )
        reason = read.reason
        if read.reason is RefusalReason.CANCELLED and run.ended is not None:
            # Nobody gave the order up, so its time ran out.
            reason = RefusalReason.DEADLINE
        _log.info(
            'run failed',
            extra={
                'request_id': run.order.attempt_id.decode('latin-1'),
                'outcome': read.outcome,
                'reason': reason,
                'route': run.order.kind,
                'target': run.order.target_id,
                'detail': read.detail,
            },
        )
        return RunAnswer(outcome=read.outcome, reason=reason, load=load)

    def _answer(self, run: Run, answer: RunAnswer) -> None:
        seconds = clock_now() - run.arrived_at
        self._meters.ran(answer.outcome, answer.reason, seconds)
        ended = run.ended
        run.ended = None
        if ended is not None:
            ended(answer)
