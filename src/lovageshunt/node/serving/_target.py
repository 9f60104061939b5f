"""The link to the local target: dispatches calls to it, reads its load."""

from collections.abc import Mapping
from typing import Final

import orjson
from expression import Error, Ok, Result

from lovageshunt._record import Record
from lovageshunt.calls import (
    ANSWER_HEADER,
    AnswerInfo,
    Outcome,
    RefusalReason,
    decode_answer,
)
from lovageshunt.client import (
    ExchangeFailure,
    ExchangeFailureKind,
    HttpResponse,
    InboundRequest,
    Transport,
)
from lovageshunt.errors import MalformedAnswerError

#: A target that answers with this header states that it ran nothing.
NOT_RUN_HEADER: Final = 'lovageshunt-not-run'
_FIRST_FAILURE_STATUS: Final = 500
_SHED_STATUSES: Final = frozenset((429, 503))
_LOAD_TIMEOUT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
_RETRY_AFTER: Final = 'retry-after'
#: Headers that hold for one connection, or are made anew for each.
_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'host',
        'keep-alive',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        ANSWER_HEADER,
    )
)


class TargetReply(Record):
    """What a dispatched call came to.

    ``whole`` is the target's answer, if one arrived; ``info`` is what the
    library in the target said beside it. ``was_cut`` marks a call whose
    connection ended without an answer, as when the target goes down.
    """

    __slots__ = ('outcome', 'reason', 'whole', 'info', 'was_cut')

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        whole: HttpResponse | None = None,
        info: AnswerInfo | None = None,
        was_cut: bool = False,
    ) -> None:
        """Take the outcome and what is known beside it."""
        self.outcome = outcome
        self.reason = reason
        self.whole = whole
        self.info = info
        self.was_cut = was_cut

    @property
    def was_shed(self) -> bool:
        """Return whether the target itself refused the call for its load."""
        if self.whole is None or self.info is not None:
            return False
        is_stated = NOT_RUN_HEADER in self.whole.headers
        return is_stated or self.whole.status in _SHED_STATUSES

    @property
    def retry_after_ms(self) -> int:
        """Return when the target asked its caller to come back, or 0."""
        if self.info is not None and self.info.retry_after_ms:
            return self.info.retry_after_ms
        if self.whole is None:
            return 0
        seconds = self.whole.headers.get(_RETRY_AFTER, '')
        return int(seconds) * _MS_PER_SECOND if seconds.isdecimal() else 0


class TargetLoad(Record):
    """The target's own load report."""

    __slots__ = ('running', 'slots')

    def __init__(self, *, running: int, slots: int) -> None:
        """Take the calls that run and the slots the target says it has."""
        self.running = running
        self.slots = slots


class TargetLink:
    """Speaks to the one target beside this node."""

    def __init__(
        self,
        *,
        address: str,
        transport: Transport,
        health_path: str,
        load_path: str,
    ) -> None:
        """Keep the address (IP:PORT) and the transport."""
        self._address = address
        self._transport = transport
        self._health_path = health_path
        self._load_path = load_path

    async def dispatch(
        self,
        inbound: InboundRequest,
        *,
        call_id: str,
        headers: Mapping[str, str],
        timeout_seconds: float,
        is_repeatable: bool,
    ) -> TargetReply:
        """Send a call to the target and wait for the whole answer."""
        exchange = await self._transport.send(
            address=self._address,
            method=inbound.method,
            target=inbound.target,
            headers=headers,
            body=inbound.body,
            timeout_seconds=timeout_seconds,
        )
        if exchange.is_error():
            return _reply_of_loss(exchange.error, is_repeatable)
        return _reply_of_answer(exchange.ok, call_id)

    async def is_healthy(self) -> bool:
        """Ask the target's health endpoint, which may mislead."""
        exchange = await self._ask(self._health_path)
        return exchange.is_ok() and exchange.ok.status < _FIRST_FAILURE_STATUS

    async def load(self) -> Result[TargetLoad, str]:
        """Read the target's load report, or say why there is none."""
        exchange = await self._ask(self._load_path)
        if exchange.is_error():
            return Error(exchange.error.detail)
        try:
            fields = orjson.loads(exchange.ok.body)
            return Ok(
                TargetLoad(
                    running=int(fields['running']),
                    slots=int(fields['slots']),
                ),
            )
        except (KeyError, TypeError, ValueError) as error:
            return Error(repr(error))

    async def _ask(self, path: str) -> Result[HttpResponse, ExchangeFailure]:
        return await self._transport.send(
            address=self._address,
            method='GET',
            target=path,
            headers={},
            body=b'',
            timeout_seconds=_LOAD_TIMEOUT_SECONDS,
        )


def forwardable(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that pass from hop to hop."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in _HOP_HEADERS
    }


def passing_headers(
    headers: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    """Return what passes of an answer's headers; names may repeat."""
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in _HOP_HEADERS
    )


def _reply_of_loss(lost: ExchangeFailure, is_repeatable: bool) -> TargetReply:
    if lost.is_unsent:
        return TargetReply(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.CONNECTION_LOST,
        )
    # A lookup that may still run changes nothing, so its end is certain.
    outcome = Outcome.FAILED if is_repeatable else Outcome.UNKNOWN
    if lost.kind is ExchangeFailureKind.LATE:
        return TargetReply(outcome=outcome, reason=RefusalReason.DEADLINE)
    return TargetReply(
        outcome=outcome,
        reason=RefusalReason.CONNECTION_LOST,
        was_cut=lost.kind is ExchangeFailureKind.CUT,
    )


def _reply_of_answer(whole: HttpResponse, call_id: str) -> TargetReply:
    if NOT_RUN_HEADER in whole.headers:
        return TargetReply(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
            whole=whole,
        )
    said = whole.headers.get(ANSWER_HEADER)
    if said is None:
        return _reply_of_status(whole)
    try:
        info = decode_answer(said, call_id)
    except MalformedAnswerError:
        return TargetReply(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.MALFORMED,
        )
    return TargetReply(
        outcome=info.outcome,
        reason=info.reason,
        whole=whole,
        info=info,
    )


def _reply_of_status(whole: HttpResponse) -> TargetReply:
    if whole.status < _FIRST_FAILURE_STATUS:
        return TargetReply(outcome=Outcome.ANSWERED, whole=whole)
    return TargetReply(
        outcome=Outcome.FAILED,
        reason=RefusalReason.TARGET_FAILED,
        whole=whole,
    )
