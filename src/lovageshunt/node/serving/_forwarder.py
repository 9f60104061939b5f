"""Forwards admitted calls to the local target."""

from asyncio import Task, create_task, shield
from collections.abc import Callable
from logging import getLogger

from lovageshunt._record import Record
from lovageshunt.calls import (
    CONTEXT_HEADER,
    ContextKey,
    Outcome,
    encode_context,
)
from lovageshunt.clock import now
from lovageshunt.idempotency import Ending, StoredAnswer
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.gate._messages import CallEnded, TargetDown
from lovageshunt.node.serving._call import CallInProgress
from lovageshunt.node.serving._http_boundary import forwarded_context
from lovageshunt.node.serving._target import (
    TargetLink,
    TargetReply,
    end_to_end_headers,
    end_to_end_items,
)

_log = getLogger(__name__)


class Forwarder:
    """Forwards calls to the target and detects its crashes.

    A crash is reported through ``notify_gate``.
    """

    __slots__ = ('_identity', '_target', '_key', '_notify_gate', '_crash_check')

    def __init__(
        self,
        *,
        identity: Identity,
        target: TargetLink,
        key: ContextKey | None,
        notify_gate: Callable[[Record], None],
    ) -> None:
        self._identity = identity
        self._target = target
        self._key = key
        self._notify_gate = notify_gate
        self._crash_check: Task[None] | None = None

    async def forward(self, call: CallInProgress) -> TargetReply:
        """Send a call to the target with what is left of its deadline."""
        context = call.parsed.context
        rule = call.parsed.rule
        at = now()
        sent = forwarded_context(
            context,
            home=None if rule.is_repeatable else self._identity.home,
            seconds_left=call.deadline - at,
            elapsed_seconds=at - call.arrived_at,
            trace_parent=call.span.trace_parent,
        )
        headers = end_to_end_headers(call.inbound.headers)
        headers[CONTEXT_HEADER] = encode_context(sent, self._key)
        reply = await self._target.dispatch(
            call.inbound,
            call_id=context.call_id,
            headers=headers,
            timeout_seconds=call.deadline - at,
            is_repeatable=rule.is_repeatable,
        )
        if reply.was_disconnected:
            await self._check_target()
        return reply

    async def _check_target(self) -> None:
        """Check for a crash, once for all calls that lost their connection."""
        if self._crash_check is None or self._crash_check.done():
            self._crash_check = create_task(self._report_crash())
        # Cancelling one call must not cancel the check for the others.
        await shield(self._crash_check)

    async def _report_crash(self) -> None:
        is_healthy = await self._target.is_healthy()
        if not is_healthy:
            _log.error(
                'target crashed with calls in flight: its health check failed',
            )
            self._notify_gate(TargetDown())


def outcome_if_cancelled(call: CallInProgress) -> Outcome:
    """Return the outcome of a call that is cancelled before its reply."""
    is_repeatable = call.parsed.rule.is_repeatable
    return Outcome.FAILED if is_repeatable else Outcome.UNKNOWN


def ended_event(call: CallInProgress, reply: TargetReply) -> CallEnded:
    """Return the event for the gate that reports a target's reply."""
    below = {} if reply.info is None else reply.info.threshold_by_service
    return CallEnded(
        ticket=call.ticket,
        ending=Ending(
            outcome=reply.outcome,
            reason=reply.reason,
            answer=_stored(reply),
        ),
        is_complete=reply.response is not None,
        was_shed=reply.was_shed,
        retry_after_ms=reply.retry_after_ms,
        threshold_by_service=below,
    )


def _stored(reply: TargetReply) -> StoredAnswer | None:
    response = reply.response
    if response is None:
        return None
    return StoredAnswer(
        status=response.status,
        headers=end_to_end_items(response.headers),
        body=response.body,
    )
