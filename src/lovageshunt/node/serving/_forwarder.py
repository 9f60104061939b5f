"""Sends the calls that may run to the local target."""

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
    """Sends calls to the target and finds out when it has gone down."""

    __slots__ = ('_identity', '_target', '_key', '_tell', '_crash_check')

    def __init__(
        self,
        *,
        identity: Identity,
        target: TargetLink,
        key: ContextKey | None,
        tell: Callable[[Record], None],
    ) -> None:
        """Tell the gate by ``tell`` of a target that went down."""
        self._identity = identity
        self._target = target
        self._key = key
        self._tell = tell
        self._crash_check: Task[None] | None = None

    async def forward(self, call: CallInProgress) -> TargetReply:
        """Send a call and return what came back."""
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
        if reply.was_cut:
            await self._check_target()
        return reply

    async def _check_target(self) -> None:
        """Find out once for all calls cut together whether it went down."""
        if self._crash_check is None or self._crash_check.done():
            self._crash_check = create_task(self._tell_crash())
        # A call that is cancelled meanwhile leaves the check to the others.
        await shield(self._crash_check)

    async def _tell_crash(self) -> None:
        is_healthy = await self._target.is_healthy()
        if not is_healthy:
            _log.error('the target went down with calls in flight')
            self._tell(TargetDown())


def outcome_if_cancelled(call: CallInProgress) -> Outcome:
    """Return what is known of a call that is cancelled before its reply."""
    is_repeatable = call.parsed.rule.is_repeatable
    return Outcome.FAILED if is_repeatable else Outcome.UNKNOWN


def ended_by(call: CallInProgress, reply: TargetReply) -> CallEnded:
    """Return the event that a target's reply to a call is."""
    below = {} if reply.info is None else reply.info.threshold_by_service
    return CallEnded(
        ticket=call.ticket,
        ending=Ending(
            outcome=reply.outcome,
            reason=reply.reason,
            answer=_stored(reply),
        ),
        is_complete=reply.whole is not None,
        was_shed=reply.was_shed,
        retry_after_ms=reply.retry_after_ms,
        threshold_by_service=below,
    )


def _stored(reply: TargetReply) -> StoredAnswer | None:
    whole = reply.whole
    if whole is None:
        return None
    return StoredAnswer(
        status=whole.status,
        headers=end_to_end_items(whole.headers),
        body=whole.body,
    )
