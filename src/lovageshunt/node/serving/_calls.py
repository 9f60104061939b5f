"""The calls in progress at this node, and what is done for them."""

from asyncio import CancelledError, Task, create_task
from collections.abc import Coroutine
from functools import singledispatchmethod
from itertools import count
from logging import getLogger
from typing import Any

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
from lovageshunt.node.serving._border import Admissible
from lovageshunt.node.serving._call import CallInProgress
from lovageshunt.node.serving._call_meter import CallMeter
from lovageshunt.node.serving._forwarder import (
    Forwarder,
    ended_by,
    outcome_if_cancelled,
)
from lovageshunt.node.serving._target import TargetLink, TargetReply
from lovageshunt.observability import ActiveSpan
from lovageshunt.retries import NotifyPeers

_log = getLogger(__name__)


class Calls:
    """Carries out what the gate asks for."""

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
        """Begin with no calls."""
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
            tell=self.handle,
        )

    @property
    def request_ids(self) -> list[str]:
        """Return the requests whose calls are in progress."""
        return sorted(
            call.admissible.context.request_id
            for call in self._by_ticket.values()
        )

    def begin(
        self,
        inbound: InboundRequest,
        admissible: Admissible,
        span: ActiveSpan,
        *,
        arrived_at: float,
        deadline: float,
    ) -> CallInProgress:
        """Take a call in; ``handle`` must be told of its arrival next."""
        call = CallInProgress(
            ticket=str(next(self._numbers)),
            inbound=inbound,
            admissible=admissible,
            span=span,
            arrived_at=arrived_at,
            deadline=deadline,
        )
        self._by_ticket[call.ticket] = call
        return call

    def abandon(self, call: CallInProgress, reason: RefusalReason) -> None:
        """Tell the gate that nobody waits for a call's reply."""
        self.handle(CallAbandoned(call.ticket, reason))

    def handle(self, event: Record) -> None:
        """Tell the gate of an event and carry out what follows."""
        for action in self._gate.handle(event, now()):
            self._act(action)

    async def stop(self) -> None:
        """Cancel what still runs."""
        for task in tuple(self._tasks):
            task.cancel()

    @singledispatchmethod
    def _act(self, action: Record) -> None:
        _log.error('no way to carry out %r', action)

    @_act.register
    def _on_reply(self, action: Reply) -> None:
        call = self._by_ticket[action.ticket]
        # Counted here, so that the account and the gate agree at any moment.
        self._meter.ended(call, action)
        call.reply = action
        if not call.replied.done():
            call.replied.set_result(None)
        if call.forwarding is None:
            self._by_ticket.pop(action.ticket)

    @_act.register
    def _on_forward(self, action: Forward) -> None:
        call = self._by_ticket[action.ticket]
        call.forwarded_at = now()
        call.forwarding = self._spawn(self._forward(call))

    @_act.register
    def _on_cancel(self, action: CancelForward) -> None:
        call = self._by_ticket.get(action.ticket)
        if call is None or call.forwarding is None:
            return
        call.is_cancelled = True
        if call.has_begun:
            call.forwarding.cancel()

    @_act.register
    def _on_redirect(self, action: Redirect) -> None:
        call = self._by_ticket[action.call_id]
        call.forwarding = self._spawn(self._redirect(call, action))

    @_act.register
    def _on_inquire(self, action: Inquire) -> None:
        self._spawn(self._inquire(action))

    @_act.register
    def _on_answer(self, action: AnswerInquiry) -> None:
        self._inquiries.answered(action)

    @_act.register
    def _on_hand_over(self, action: HandOver) -> None:
        self._inquiries.start_hand_over(action)

    @_act.register
    def _on_tell(self, action: NotifyPeers) -> None:
        self._inquiries.tell_suspects(action.reports)

    async def _inquire(self, action: Inquire) -> None:
        self.handle(await self._inquiries.ask(action))

    async def _forward(self, call: CallInProgress) -> None:
        reply = TargetReply(
            outcome=outcome_if_cancelled(call),
            reason=RefusalReason.CANCELLED,
        )
        call.has_begun = True
        try:
            if not call.is_cancelled:
                reply = await self._forwarder.forward(call)
        except CancelledError:
            _log.debug('call %s was cancelled', call.ticket)
        except Exception:
            _log.exception('call %s could not be forwarded', call.ticket)
        call.target_reply = reply
        self.handle(ended_by(call, reply))
        self._by_ticket.pop(call.ticket, None)

    async def _redirect(self, call: CallInProgress, action: Redirect) -> None:
        ending = await self._inquiries.redirect(
            call.inbound,
            call.admissible,
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
