"""What the target calls through this node for the calls that it serves."""

from asyncio import Task
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from lovageshunt._record import Record
from lovageshunt.calls import (
    CONTEXT_HEADER,
    AnswerInfo,
    CallContext,
    Outcome,
    RefusalReason,
    decode_context,
)
from lovageshunt.client import CallScope, Engine, InboundRequest, Transport
from lovageshunt.clock import now
from lovageshunt.node.serving._target import TargetLink, TargetReply

#: What the target's own outcome becomes once it has called others: nothing
#: of its call can be said not to have run.
_OUTCOME_BY_STATED: Final = MappingProxyType(
    {Outcome.NOT_RUN: Outcome.FAILED},
)


class CallBelow(Record):
    """A call that the target serves, and what was called for it."""

    __slots__ = ('scope', 'tasks', 'has_called', 'has_unknown')

    def __init__(self, *, scope: CallScope) -> None:
        """Begin with nothing called."""
        self.scope = scope
        self.tasks: set[Task[Any]] = set()
        self.has_called = False
        #: Whether a call below ended without a known outcome.
        self.has_unknown = False


class CallsBelow:
    """Holds one scope for each call that the target serves.

    The scope is found by the context header that the target got. All calls
    that bring it divide one share of retries, and are cancelled when the
    call is over.
    """

    def __init__(self, engine: Engine) -> None:
        """Begin with no call served."""
        self._engine = engine
        self._by_header: dict[str, CallBelow] = {}

    def open(self, header: str, context: CallContext) -> None:
        """Expect calls that bring the header."""
        scope = CallScope(self._engine, context, is_root=False)
        self._by_header[header] = CallBelow(scope=scope)

    def find(self, header: str) -> CallBelow | None:
        """Return the call that a header belongs to while it is served."""
        return self._by_header.get(header)

    def close(self, header: str) -> CallBelow:
        """Expect no more, and cancel what still runs."""
        below = self._by_header.pop(header)
        for task in tuple(below.tasks):
            task.cancel()
        return below

    def joined(self, reply: TargetReply, below: CallBelow) -> TargetReply:
        """Return the target's reply with what its calls below came to."""
        if not below.has_called:
            return reply
        outcome = _outcome(reply, below)
        reply.outcome = outcome
        reply.info = AnswerInfo(
            call_id=below.scope.call_id,
            outcome=outcome,
            reason=reply.reason,
            retry_after_ms=reply.retry_after_ms,
            unspent=below.scope.unspent,
            threshold_by_service=self._engine.thresholds.advertised(
                now(),
                below.scope.called_services,
            ),
        )
        if reply.reason is None and outcome is not Outcome.ANSWERED:
            reply.reason = RefusalReason.TARGET_FAILED
        return reply


class CallingTargetLink(TargetLink):
    """Speaks to a target that calls others through this node."""

    def __init__(
        self,
        *,
        address: str,
        transport: Transport,
        health_path: str,
        load_path: str,
        below: CallsBelow,
    ) -> None:
        """Take what a plain link takes, and where calls below are held."""
        super().__init__(
            address=address,
            transport=transport,
            health_path=health_path,
            load_path=load_path,
        )
        self._below = below

    async def dispatch(
        self,
        inbound: InboundRequest,
        *,
        call_id: str,
        headers: Mapping[str, str],
        timeout_seconds: float,
        is_repeatable: bool,
    ) -> TargetReply:
        """Send a call to the target, and let it call others meanwhile."""
        header = headers[CONTEXT_HEADER]
        self._below.open(header, decode_context(header))
        try:
            reply = await super().dispatch(
                inbound,
                call_id=call_id,
                headers=headers,
                timeout_seconds=timeout_seconds,
                is_repeatable=is_repeatable,
            )
        finally:
            below = self._below.close(header)
        return self._below.joined(reply, below)


def _outcome(reply: TargetReply, below: CallBelow) -> Outcome:
    if reply.outcome is Outcome.FAILED and below.has_unknown:
        return Outcome.UNKNOWN
    return _OUTCOME_BY_STATED.get(reply.outcome, reply.outcome)
