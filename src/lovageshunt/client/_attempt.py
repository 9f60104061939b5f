"""Sends one attempt of a call to the node of one member."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    AnswerInfo,
    CallContext,
    ContextKey,
    Outcome,
    RefusalReason,
    decode_answer,
    encode_context,
)
from lovageshunt.client._messages import Call
from lovageshunt.client._transport import (
    ExchangeFailure,
    ExchangeFailureKind,
    Transport,
    TransportResponse,
)
from lovageshunt.errors import MalformedAnswerError
from lovageshunt.routing import RouteMember

_MS_PER_SECOND: Final = 1000
#: Added to the timeout, since the node may answer up to the deadline and its
#: answer still has to cross the network.
_GRACE_SECONDS: Final = 0.25


class AttemptResult(Record):
    """How one attempt ended.

    ``info`` is the control part of the answer, or what the client infers if
    no valid answer arrived; ``is_lost`` is true then. ``response`` is the
    HTTP response of a valid answer.
    """

    __slots__ = ('info', 'response', 'is_lost')

    def __init__(
        self,
        *,
        info: AnswerInfo,
        response: TransportResponse | None = None,
        is_lost: bool = False,
    ) -> None:
        self.info = info
        self.response = response
        self.is_lost = is_lost


async def send_attempt(
    transport: Transport,
    member: RouteMember,
    call: Call,
    context: CallContext,
    key: ContextKey | None,
) -> AttemptResult:
    """Send one attempt and wait for its end.

    The answer is only valid if it states this call and its own body length.
    """
    exchange = await transport.send(
        address=member.address,
        method=call.method,
        target=call.path,
        headers={**call.headers, CONTEXT_HEADER: encode_context(context, key)},
        body=call.body,
        timeout_seconds=context.timeout_ms / _MS_PER_SECOND + _GRACE_SECONDS,
    )
    if exchange.is_error():
        return _result_of_failure(exchange.error, context)
    return _result_of_response(exchange.ok, context)


def _result_of_failure(
    failure: ExchangeFailure, context: CallContext
) -> AttemptResult:
    if failure.is_unsent:
        return _inferred_result(
            context,
            Outcome.NOT_RUN,
            RefusalReason.CONNECTION_LOST,
        )
    reason = RefusalReason.CONNECTION_LOST
    if failure.kind is ExchangeFailureKind.LATE:
        reason = RefusalReason.DEADLINE
    return _inferred_result(context, Outcome.UNKNOWN, reason)


def _result_of_response(
    response: TransportResponse, context: CallContext
) -> AttemptResult:
    header = response.headers.get(ANSWER_HEADER, '')
    try:
        info = decode_answer(header, context.call_id)
    except MalformedAnswerError:
        return _inferred_result(
            context, Outcome.UNKNOWN, RefusalReason.MALFORMED
        )
    if info.body_length != len(response.body):
        return _inferred_result(
            context, Outcome.UNKNOWN, RefusalReason.MALFORMED
        )
    return AttemptResult(info=info, response=response)


def _inferred_result(
    context: CallContext,
    outcome: Outcome,
    reason: RefusalReason,
) -> AttemptResult:
    info = AnswerInfo(call_id=context.call_id, outcome=outcome, reason=reason)
    return AttemptResult(info=info, is_lost=True)
