"""Links the calls that the target makes to the calls that it serves."""

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

#: Replaces the outcome that the target states once it has called others: it
#: can no longer claim that its call did not run.
_OUTCOME_AFTER_CALLS: Final = MappingProxyType(
    {Outcome.NOT_RUN: Outcome.FAILED},
)


class ServedCall(Record):
    """A call that the target serves, with its downstream calls.

    ``tasks`` are the downstream calls in progress. ``has_unknown`` is true
    when one of them ended without a known outcome.
    """

    __slots__ = ('scope', 'tasks', 'has_called', 'has_unknown')

    def __init__(self, *, scope: CallScope) -> None:
        self.scope = scope
        self.tasks: set[Task[Any]] = set()
        self.has_called = False
        self.has_unknown = False


class ServedCalls:
    """Holds one scope for each call that the target serves.

    The context header that the target received is the key. All downstream
    calls that present it share one retry budget, and are cancelled when the
    served call ends.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._by_header: dict[str, ServedCall] = {}

    def open(self, header: str, context: CallContext) -> None:
        """Accept downstream calls that present the header."""
        scope = CallScope(self._engine, context, is_root=False)
        self._by_header[header] = ServedCall(scope=scope)

    def find(self, header: str) -> ServedCall | None:
        """Return the call of a header, or ``None`` if it is not served now."""
        return self._by_header.get(header)

    def close(self, header: str) -> ServedCall:
        """Accept no more downstream calls, and cancel those in progress."""
        served = self._by_header.pop(header)
        for task in tuple(served.tasks):
            task.cancel()
        return served

    def merge(self, reply: TargetReply, served: ServedCall) -> TargetReply:
        """Merge the result of the downstream calls into the target's reply.

        The reply is changed in place, unless there were no such calls.
        """
        if not served.has_called:
            return reply
        outcome = _merged_outcome(reply, served)
        reply.outcome = outcome
        reply.info = AnswerInfo(
            call_id=served.scope.call_id,
            outcome=outcome,
            reason=reply.reason,
            retry_after_ms=reply.retry_after_ms,
            unspent=served.scope.unspent,
            threshold_by_service=self._engine.thresholds.advertised(
                now(),
                served.scope.called_services,
            ),
        )
        if reply.reason is None and outcome is not Outcome.ANSWERED:
            reply.reason = RefusalReason.TARGET_FAILED
        return reply


class CallingTargetLink(TargetLink):
    """Link to a target that calls other services through this node."""

    def __init__(
        self,
        *,
        address: str,
        transport: Transport,
        single_use: Transport,
        health_path: str,
        load_path: str,
        served_calls: ServedCalls,
    ) -> None:
        """Register each dispatched call with ``served_calls``."""
        super().__init__(
            address=address,
            transport=transport,
            single_use=single_use,
            health_path=health_path,
            load_path=load_path,
        )
        self._served_calls = served_calls

    async def dispatch(
        self,
        inbound: InboundRequest,
        *,
        call_id: str,
        headers: Mapping[str, str],
        timeout_seconds: float,
        is_repeatable: bool,
    ) -> TargetReply:
        """Send a call to the target, which may call others until it replies."""
        header = headers[CONTEXT_HEADER]
        self._served_calls.open(header, decode_context(header))
        try:
            reply = await super().dispatch(
                inbound,
                call_id=call_id,
                headers=headers,
                timeout_seconds=timeout_seconds,
                is_repeatable=is_repeatable,
            )
        finally:
            served = self._served_calls.close(header)
        return self._served_calls.merge(reply, served)


def _merged_outcome(reply: TargetReply, served: ServedCall) -> Outcome:
    if reply.outcome is Outcome.FAILED and served.has_unknown:
        return Outcome.UNKNOWN
    return _OUTCOME_AFTER_CALLS.get(reply.outcome, reply.outcome)
