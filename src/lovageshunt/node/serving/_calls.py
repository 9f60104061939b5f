"""Tracks the calls in progress and executes the actions of the gate."""

from asyncio import CancelledError, Task, create_task
from collections.abc import Coroutine
from itertools import count
from logging import getLogger
from typing import Any

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt._record import Record
from lovageshunt.calls import ContextKey, RefusalReason
from lovageshunt.client import InboundRequest
from lovageshunt.clock import now
from lovageshunt.idempotency import (
    AnswerInquiry,
    HandOver,
    Inquire,
    Redirect,
)
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._inquiries import Inquiries
from lovageshunt.node.gate._gate import Gate
from lovageshunt.node.gate._messages import (
    CallAbandoned,
    CallRedirected,
    CancelForward,
    Forward,
    Reply,
)
from lovageshunt.node.serving._call import CallInProgress
from lovageshunt.node.serving._call_meter import CallMeter
from lovageshunt.node.serving._forwarder import (
    Forwarder,
    ended_event,
    outcome_if_cancelled,
)
from lovageshunt.node.serving._http_boundary import ParsedCall
from lovageshunt.node.serving._target import TargetLink, TargetReply
from lovageshunt.observability import ActiveSpan
from lovageshunt.retries import NotifyPeers

_log = getLogger(__name__)


class Calls:
    """Passes events of calls to the gate and executes its actions."""

    def __init__(
        self,
        *,
        identity: Identity,
        gate: Gate,
        target: TargetLink,
        inquiries: Inquiries,
        key: ContextKey | None,
        meter: CallMeter,
    ) -> None:
        self._gate = gate
        self._inquiries = inquiries
        self._meter = meter
        self._by_ticket: dict[str, CallInProgress] = {}
        self._numbers = count(1)
        self._tasks: set[Task[None]] = set()
        self._forwarder = Forwarder(
            identity=identity,
            target=target,
            key=key,
            notify_gate=self.handle,
        )

    @property
    def request_ids(self) -> list[str]:
        """Return the sorted request ids of the calls in progress."""
        return sorted(
            call.parsed.context.request_id for call in self._by_ticket.values()
        )

    def track(
        self,
        inbound: InboundRequest,
        parsed: ParsedCall,
        span: ActiveSpan,
        *,
        arrived_at: float,
        deadline: float,
    ) -> CallInProgress:
        """Register a call; pass its arrival to ``handle`` next."""
        call = CallInProgress(
            ticket=str(next(self._numbers)),
            inbound=inbound,
            parsed=parsed,
            span=span,
            arrived_at=arrived_at,
            deadline=deadline,
        )
        self._by_ticket[call.ticket] = call
        return call

    def abandon(self, call: CallInProgress, reason: RefusalReason) -> None:
        """Report to the gate that nobody waits for the reply any more."""
        self.handle(CallAbandoned(call.ticket, reason))

    def handle(self, event: Record) -> None:
        """Pass an event to the gate and execute the resulting actions."""
        for action in self._gate.handle(event, now()):
            self._execute(action)

    async def stop(self) -> None:
        """Cancel all running tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    @DispatchedMethod
    def _execute(self, action: Record) -> None:
        _log.error('ignoring action of unknown type: %r', action)

    @_execute.register
    def _on_reply(self, action: Reply) -> None:
        call = self._by_ticket[action.ticket]
        # Recorded here, so that the account always agrees with the gate.
        self._meter.ended(call, action)
        call.reply = action
        if not call.replied.done():
            call.replied.set_result(None)
        if call.forward_task is None:
            self._by_ticket.pop(action.ticket)

    @_execute.register
    def _on_forward(self, action: Forward) -> None:
        call = self._by_ticket[action.ticket]
        call.forwarded_at = now()
        call.forward_task = self._spawn(self._forward(call))

    @_execute.register
    def _on_cancel(self, action: CancelForward) -> None:
        call = self._by_ticket.get(action.ticket)
        if call is None or call.forward_task is None:
            return
        call.is_cancelled = True
        if call.has_started:
            call.forward_task.cancel()

    @_execute.register
    def _on_redirect(self, action: Redirect) -> None:
        call = self._by_ticket[action.call_id]
        call.forward_task = self._spawn(self._redirect(call, action))

    @_execute.register
    def _on_inquire(self, action: Inquire) -> None:
        self._spawn(self._inquire(action))

    @_execute.register
    def _on_answer_inquiry(self, action: AnswerInquiry) -> None:
        self._inquiries.resolve_answer(action)

    @_execute.register
    def _on_hand_over(self, action: HandOver) -> None:
        self._inquiries.start_hand_over(action)

    @_execute.register
    def _on_notify_peers(self, action: NotifyPeers) -> None:
        self._inquiries.report_suspects(action.reports)

    async def _inquire(self, action: Inquire) -> None:
        self.handle(await self._inquiries.ask(action))

    async def _forward(self, call: CallInProgress) -> None:
        reply = TargetReply(
            outcome=outcome_if_cancelled(call),
            reason=RefusalReason.CANCELLED,
        )
        call.has_started = True
        try:
            if not call.is_cancelled:
                reply = await self._forwarder.forward(call)
        except CancelledError:
            _log.debug('forwarding of call %s was cancelled', call.ticket)
        except Exception:
            _log.exception('forwarding of call %s failed', call.ticket)
        call.target_reply = reply
        self.handle(ended_event(call, reply))
        self._by_ticket.pop(call.ticket, None)

    async def _redirect(self, call: CallInProgress, action: Redirect) -> None:
        ending = await self._inquiries.redirect(
            call.inbound,
            call.parsed,
            action,
            seconds_left=call.deadline - now(),
            held_seconds=now() - call.arrived_at,
        )
        self.handle(CallRedirected(ticket=call.ticket, ending=ending))
        self._by_ticket.pop(call.ticket, None)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> Task[None]:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
