"""The client side: connections that send requests to a server."""

from asyncio import BaseTransport, Transport
from collections.abc import Callable
from logging import getLogger
from time import monotonic
from typing import Final, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from lovageshunt._memory_account import FIELD_BYTES
from lovageshunt._sending import Buffer, PacedProtocol, PacedWriter
from lovageshunt.errors import MalformedResponseError
from lovageshunt.http1._limits import ResponseBuffers
from lovageshunt.http1._messages import (
    BODILESS_STATUSES,
    ExchangeEnd,
    Header,
    Response,
    first_header,
)
from lovageshunt.http1._refused_ids import RefusedIds

_log = getLogger(__name__)
#: Lower statuses are those of interim responses, which precede the final one.
_MIN_FINAL_STATUS: Final = 200
#: What is a status in HTTP; with another one bytes are no response.
_STATUSES: Final = range(100, 600)
_FRAMING_FIELDS: Final = frozenset((b'content-length', b'transfer-encoding'))
_TIMEOUT_OPTION: Final = b'timeout='
#: The characters of a field's line besides its name and value, in bytes.
_FIELD_FRAMING_BYTES: Final = len(b': \r\n')
#: A body of up to this size is sent together with its head, in bytes.
_MAX_JOINED_BYTES: Final = 16 * 1024

#: Called with how an exchange ended, and with its response if it is complete.
EndedCallback = Callable[[ExchangeEnd, Response | None], None]


class Exchange:
    """A request, with a callback for its end.

    ``encoded`` is its head, or all of it; ``body`` follows, without a copy.
    ``identity`` is a header with the value that the response echoes; a
    response with another value belongs to an earlier request and is ignored.
    A request that is sent again has the same value, so it needs a connection
    that has not carried it: see ``ClientConnection.may_carry``.
    ``has_body`` is false for HEAD, whose responses have no body. ``ended`` is
    called once.
    """

    __slots__ = ('encoded', 'body', 'identity', 'has_body', 'ended')

    def __init__(
        self,
        *,
        encoded: bytes,
        ended: EndedCallback,
        body: Buffer = b'',
        identity: Header | None = None,
        has_body: bool = True,
    ) -> None:
        self.encoded = encoded
        self.body = body
        self.identity = identity
        self.has_body = has_body
        self.ended = ended


class ClientConnection(PacedProtocol):
    """One connection to a server, for one exchange at a time.

    ``on_free`` is called whenever the connection may be used again,
    ``on_closed`` once it is closed. ``buffers`` limits what the connections of
    a pool hold of responses that are not complete. ``idle_since`` is on the
    monotonic clock, in seconds. ``idle_limit_seconds`` is how long the server
    keeps an idle connection, or ``None`` if it did not announce that.
    """

    __slots__ = (
        '_on_closed',
        '_on_free',
        '_buffers',
        '_held_bytes',
        '_taken_bytes',
        '_field_count',
        '_header_bytes',
        '_transport',
        '_parser',
        '_exchange',
        '_status',
        '_headers',
        '_body',
        '_is_delimited',
        '_is_stale',
        '_is_unnamed',
        '_has_head',
        '_has_bytes',
        '_has_surplus',
        '_has_room',
        '_keeps_alive',
        '_complete_response',
        '_is_first',
        '_refused_ids',
        'idle_since',
        'idle_limit_seconds',
    )

    def __init__(
        self,
        on_closed: Callable[['ClientConnection'], None],
        on_free: Callable[['ClientConnection'], None],
        buffers: ResponseBuffers,
    ) -> None:
        super().__init__()
        self._on_closed = on_closed
        self._on_free = on_free
        self._buffers = buffers
        self._held_bytes = 0
        self._taken_bytes = 0
        self._field_count = 0
        self._transport: Transport | None = None
        self._parser = HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._is_first = True
        self._is_unnamed = False
        self._refused_ids = RefusedIds()
        self.idle_since = float(0)
        self.idle_limit_seconds: float | None = None
        self._has_bytes = False
        self._has_surplus = False
        self._has_room = True
        self._keeps_alive = True
        self._complete_response: Response | None = None
        self.on_message_begin()

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another exchange."""
        return self._transport is not None

    def may_carry(self, exchange: Exchange) -> bool:
        """Return whether a response can be assigned to an exchange here.

        A server in trouble may send a response once more where the next one
        is expected. If the request itself is sent again on the connection,
        the old response and the new one have the same identity.
        """
        return not self._refused_ids.has(exchange.identity)

    def send(self, exchange: Exchange) -> None:
        """Send a request; the connection must be open and idle."""
        self._exchange = exchange
        # Until its first byte arrives, the head is that of the last response.
        self._has_head = False
        self._has_bytes = False
        if self._transport is None or self.paced_writer is None:
            return
        if len(exchange.body) <= _MAX_JOINED_BYTES:
            self._transport.write(exchange.encoded + exchange.body)
            return
        self.paced_writer.write(exchange.encoded)
        self.paced_writer.write(exchange.body)

    def cancel(self) -> None:
        """Cancel the exchange and close the connection."""
        self.close()
        self._end(ExchangeEnd.CANCELLED, None)

    def close(self) -> None:
        """Close the connection immediately, without flushing."""
        if self._transport is not None:
            transport = self._transport
            self._transport = None
            transport.abort()

    # Called by asyncio.

    def connection_made(self, transport: BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(Transport, transport)
        self.paced_writer = PacedWriter(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; a clean close completes an unframed response."""
        self._transport = None
        if exc is None and self._is_ended_by_close():
            self._end(ExchangeEnd.COMPLETE, self._response())
        self._end(self._end_after_loss(), None)
        # The parser refers to this object, so that both are freed late.
        self.on_message_begin()
        self.paced_writer = None
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse data from the server; close an idle connection on any.

        A response that exceeds a limit ends the exchange as incomplete.
        """
        if self._exchange is None:
            self.close()
            return
        self._has_bytes = True
        self._held_bytes += len(data)
        self._count_taken()
        if self._is_too_long():
            self._cut()
            return
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._has_surplus = True
            if self._complete_response is None:
                self._cut()
        if self._complete_response is None:
            self._count_taken()
            if self._is_too_long():
                self._cut()
        self._deliver()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the state of the message."""
        if self._complete_response is not None:
            self._has_surplus = True
        self._status = 0
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._is_delimited = False
        self._is_stale = False
        self._has_head = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; note if it determines where the body ends."""
        self._header_bytes += len(name) + len(text) + _FIELD_FRAMING_BYTES
        self._field_count += 1
        lower = name.lower()
        if lower in _FRAMING_FIELDS:
            self._is_delimited = True
        self._headers.append((lower, text))

    def on_headers_complete(self) -> None:
        """Check by its identity whether the response is stale.

        A response that echoes no id is only safe as the first one of its
        connection, which is then not reused.
        """
        self._status = self._parser.get_status_code()
        if self._status not in _STATUSES:
            raise MalformedResponseError(self._status)
        self._has_head = True
        exchange = self._exchange
        if exchange is None or self._complete_response is not None:
            return
        if exchange.identity is not None:
            name, wanted = exchange.identity
            echoed = first_header(self._headers, name)
            self._is_stale = bool(echoed) and echoed != wanted
            is_interim = self._status < _MIN_FINAL_STATUS
            if wanted and not echoed and not is_interim:
                self._is_unnamed = True
        if not exchange.has_body and not self._is_stale:
            self._keeps_alive = False
            self._complete_response = self._response()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Keep the response for delivery, unless it is interim or stale."""
        is_interim = self._status < _MIN_FINAL_STATUS
        if is_interim or self._is_stale or self._complete_response is not None:
            return
        is_framed = self._is_delimited or self._status in BODILESS_STATUSES
        self._keeps_alive = is_framed and self._parser.should_keep_alive()
        self.idle_limit_seconds = _idle_limit_of(
            self._headers, self.idle_limit_seconds
        )
        self._complete_response = self._response()
        # The connection may be idle for long, and holds no response then.
        self._headers = []
        self._body = bytearray()

    def _count_taken(self) -> None:
        """Count the memory that the response takes."""
        taken = self._held_bytes + self._field_count * FIELD_BYTES
        self._has_room = self._buffers.hold(taken - self._taken_bytes)
        self._taken_bytes = taken

    def _response(self) -> Response:
        return Response(
            status=self._status,
            headers=self._headers,
            body=bytes(self._body),
        )

    def _deliver(self) -> None:
        """Hand over the response after all received bytes were parsed."""
        response = self._complete_response
        if response is None:
            return
        self._complete_response = None
        if self._is_unnamed and not self._is_first:
            # It may be a copy of an earlier response.
            self._cut()
            return
        if self._exchange is not None:
            self._refused_ids.note(self._exchange.identity, response)
        may_be_reused = self._keeps_alive and not self._refused_ids.is_full
        # What is left of a request whose response came early is not sent.
        is_sent = self.paced_writer is None or self.paced_writer.is_done
        may_be_reused = may_be_reused and is_sent
        if self._has_surplus or self._is_unnamed or not may_be_reused:
            self.close()
        self._end(ExchangeEnd.COMPLETE, response)

    def _is_too_long(self) -> bool:
        """Return whether the response exceeds a limit, complete or not."""
        if not self._has_room:
            return True
        limits = self._buffers.limits
        if not self._has_head and self._held_bytes > limits.head_bytes:
            return True
        if self._header_bytes > limits.head_bytes:
            return True
        return self._held_bytes > limits.head_bytes + limits.body_bytes

    def _cut(self) -> None:
        """Close the connection and end the exchange as incomplete."""
        if self._exchange is not None:
            _log.warning(
                'response was cut off: malformed, too long or without an id',
                extra={'bytes': self._held_bytes},
            )
        self.close()
        self._end(ExchangeEnd.INCOMPLETE, None)

    def _end(self, end: ExchangeEnd, response: Response | None) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        self._exchange = None
        self._is_first = False
        self._buffers.release(self._taken_bytes)
        self._held_bytes = 0
        self._taken_bytes = 0
        self._field_count = 0
        self._has_room = True
        self.idle_since = monotonic()
        if self._transport is not None:
            self._on_free(self)
        exchange.ended(end, response)

    def _is_ended_by_close(self) -> bool:
        """Whether a clean close of the connection ends the response."""
        if self._is_stale or self._is_delimited:
            return False
        is_final = self._status >= _MIN_FINAL_STATUS
        is_own = self._is_first or not self._is_unnamed
        return is_final and is_own and self._has_head

    def _end_after_loss(self) -> ExchangeEnd:
        if self._has_bytes or self._is_first:
            return ExchangeEnd.INCOMPLETE
        return ExchangeEnd.CLOSED


def _idle_limit_of(headers: list[Header], known: float | None) -> float | None:
    """Return how long the server keeps an idle connection, in seconds."""
    options = first_header(headers, b'keep-alive')
    if not options.startswith(_TIMEOUT_OPTION):
        return known
    first = options.partition(b',')[0]
    seconds = first.removeprefix(_TIMEOUT_OPTION).strip()
    return float(seconds) if seconds.isdigit() else known
