"""One attempt of a call: sent to one member's node, and read."""

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
    HttpResponse,
    Transport,
)
from lovageshunt.errors import MalformedAnswerError
from lovageshunt.routing import RouteMember

_MS_PER_SECOND: Final = 1000
#: The node answers by the deadline; this is the way there and back.
_GRACE_SECONDS: Final = 0.25


class AttemptEnd(Record):
    """How one attempt ended.

    ``said`` is the control part of the answer, made up when none arrived.
    ``is_lost`` marks an attempt that brought no answer at all.
    """

    __slots__ = ('said', 'whole', 'is_lost')

    def __init__(
        self,
        *,
        said: AnswerInfo,
        whole: HttpResponse | None = None,
        is_lost: bool = False,
    ) -> None:
        """Take the control part and the answer, if one arrived."""
        self.said = said
        self.whole = whole
        self.is_lost = is_lost


async def send_attempt(
    transport: Transport,
    member: RouteMember,
    call: Call,
    context: CallContext,
    key: ContextKey | None,
) -> AttemptEnd:
    """Send one attempt and return how it ended."""
    exchange = await transport.send(
        address=member.address,
        method=call.method,
        target=call.path,
        headers={**call.headers, CONTEXT_HEADER: encode_context(context, key)},
        body=call.body,
        timeout_seconds=context.timeout_ms / _MS_PER_SECOND + _GRACE_SECONDS,
    )
    if exchange.is_error():
        return _end_of_loss(exchange.error, context)
    return _end_of_answer(exchange.ok, context)


def _end_of_loss(lost: ExchangeFailure, context: CallContext) -> AttemptEnd:
    if lost.is_unsent:
        return _made_up(
            context,
            Outcome.NOT_RUN,
            RefusalReason.CONNECTION_LOST,
        )
    reason = RefusalReason.CONNECTION_LOST
    if lost.kind is ExchangeFailureKind.LATE:
        reason = RefusalReason.DEADLINE
    return _made_up(context, Outcome.UNKNOWN, reason)


def _end_of_answer(whole: HttpResponse, context: CallContext) -> AttemptEnd:
    header = whole.headers.get(ANSWER_HEADER, '')
    try:
        said = decode_answer(header, context.call_id)
    except MalformedAnswerError:
        return _made_up(context, Outcome.UNKNOWN, RefusalReason.MALFORMED)
    if said.body_length != len(whole.body):
        return _made_up(context, Outcome.UNKNOWN, RefusalReason.MALFORMED)
    return AttemptEnd(said=said, whole=whole)


def _made_up(
    context: CallContext,
    outcome: Outcome,
    reason: RefusalReason,
) -> AttemptEnd:
    said = AnswerInfo(call_id=context.call_id, outcome=outcome, reason=reason)
    return AttemptEnd(said=said, is_lost=True)
