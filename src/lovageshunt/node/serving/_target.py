"""The link to the local target: dispatches calls and reads its load."""

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
    InboundRequest,
    Transport,
    TransportResponse,
)
from lovageshunt.errors import MalformedAnswerError

#: Response header by which a target states that it did not run the call.
NOT_RUN_HEADER: Final = 'lovageshunt-not-run'
_FINAL_STATUSES: Final = range(200, 600)
_FIRST_FAILURE_STATUS: Final = 500
_SHED_STATUSES: Final = frozenset((429, 503))
_LOAD_TIMEOUT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
_RETRY_AFTER: Final = 'retry-after'
#: Hop-by-hop headers, and those that each hop sets itself.
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
    """The result of a dispatched call.

    ``response`` is the target's response, if one arrived; ``info`` is what
    the library in the target reported with it. ``was_disconnected`` marks a
    call whose connection closed before a response, as when the target crashes.
    """

    __slots__ = ('outcome', 'reason', 'response', 'info', 'was_disconnected')

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        response: TransportResponse | None = None,
        info: AnswerInfo | None = None,
        was_disconnected: bool = False,
    ) -> None:
        self.outcome = outcome
        self.reason = reason
        self.response = response
        self.info = info
        self.was_disconnected = was_disconnected

    @property
    def was_shed(self) -> bool:
        """Return whether the target itself shed the call because of load."""
        if self.response is None or self.info is not None:
            return False
        is_marked_not_run = NOT_RUN_HEADER in self.response.headers
        return is_marked_not_run or self.response.status in _SHED_STATUSES

    @property
    def retry_after_ms(self) -> int:
        """Return the delay before a retry that the target asked for, or 0."""
        if self.info is not None and self.info.retry_after_ms:
            return self.info.retry_after_ms
        if self.response is None:
            return 0
        seconds = self.response.headers.get(_RETRY_AFTER, '')
        return int(seconds) * _MS_PER_SECOND if seconds.isdecimal() else 0


class TargetLoad(Record):
    """A load report of the target: calls running and slots in total."""

    __slots__ = ('running', 'slots')

    def __init__(self, *, running: int, slots: int) -> None:
        self.running = running
        self.slots = slots


class TargetLink:
    """Connects this node to its target at ``address`` (IP:PORT).

    ``transport`` reuses connections, ``single_use`` does not.
    """

    def __init__(
        self,
        *,
        address: str,
        transport: Transport,
        single_use: Transport,
        health_path: str,
        load_path: str,
    ) -> None:
        self._address = address
        self._transport = transport
        self._single_use = single_use
        self._health_path = health_path
        self._load_path = load_path
        self._names_calls = False

    async def dispatch(
        self,
        inbound: InboundRequest,
        *,
        call_id: str,
        headers: Mapping[str, str],
        timeout_seconds: float,
        is_repeatable: bool,
    ) -> TargetReply:
        """Send a call to the target and wait for the complete response.

        Connections are reused only while responses name their call: if the
        target sent another one once more, late, it would be taken for the
        response to the next call.
        """
        transport = self._transport if self._names_calls else self._single_use
        exchange = await transport.send(
            address=self._address,
            method=inbound.method,
            target=inbound.target,
            headers=headers,
            body=inbound.body,
            timeout_seconds=timeout_seconds,
        )
        if exchange.is_error():
            return _reply_of_loss(exchange.error, is_repeatable)
        self._names_calls = ANSWER_HEADER in exchange.ok.headers
        return _reply_of_answer(exchange.ok, call_id)

    async def is_healthy(self) -> bool:
        """Query the health endpoint, whose answer may be wrong."""
        exchange = await self._ask(self._health_path)
        return exchange.is_ok() and exchange.ok.status < _FIRST_FAILURE_STATUS

    async def load(self) -> Result[TargetLoad, str]:
        """Read the load report of the target, or return why it failed."""
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

    async def _ask(
        self, path: str
    ) -> Result[TransportResponse, ExchangeFailure]:
        return await self._transport.send(
            address=self._address,
            method='GET',
            target=path,
            headers={},
            body=b'',
            timeout_seconds=_LOAD_TIMEOUT_SECONDS,
        )


def end_to_end_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that are forwarded, without hop-by-hop ones."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in _HOP_HEADERS
    }


def end_to_end_items(
    headers: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers of a response; names may repeat."""
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
    # A repeatable call has no side effects, so it counts as failed even if
    # it may still be running.
    outcome = Outcome.FAILED if is_repeatable else Outcome.UNKNOWN
    if lost.kind is ExchangeFailureKind.LATE:
        return TargetReply(outcome=outcome, reason=RefusalReason.DEADLINE)
    return TargetReply(
        outcome=outcome,
        reason=RefusalReason.CONNECTION_LOST,
        was_disconnected=lost.kind is ExchangeFailureKind.CUT,
    )


def _reply_of_answer(response: TransportResponse, call_id: str) -> TargetReply:
    if response.status not in _FINAL_STATUSES:
        # No response in HTTP, whatever else it says.
        return TargetReply(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.MALFORMED,
        )
    if NOT_RUN_HEADER in response.headers:
        return TargetReply(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
            response=response,
        )
    answer_header = response.headers.get(ANSWER_HEADER)
    if answer_header is None:
        return _reply_of_status(response)
    try:
        info = decode_answer(answer_header, call_id)
    except MalformedAnswerError:
        return TargetReply(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.MALFORMED,
        )
    return TargetReply(
        outcome=info.outcome,
        reason=info.reason,
        response=response,
        info=info,
    )


def _reply_of_status(response: TransportResponse) -> TargetReply:
    if response.status < _FIRST_FAILURE_STATUS:
        return TargetReply(outcome=Outcome.ANSWERED, response=response)
    return TargetReply(
        outcome=Outcome.FAILED,
        reason=RefusalReason.TARGET_FAILED,
        response=response,
    )
