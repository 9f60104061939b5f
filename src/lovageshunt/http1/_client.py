"""The side that sends requests to a target."""

from asyncio import BaseTransport, Protocol, Transport
from collections.abc import Callable
from time import monotonic
from typing import Final, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from lovageshunt.http1._messages import (
    BODILESS,
    ExchangeEnd,
    Header,
    Response,
    first_header,
)

#: Interim answers, which precede the final one.
_INTERIM_END: Final = 200
_FRAMING: Final = frozenset((b'content-length', b'transfer-encoding'))
_TIMEOUT_OPTION: Final = b'timeout='


class Exchange:
    """A request on its way and what becomes of it.

    ``identity`` is a header and the value that the response must echo; a
    response with another value belongs to an earlier request and is passed
    over. ``ended`` is called once.
    """

    __slots__ = ('encoded', 'identity', 'has_body', 'ended')

    def __init__(
        self,
        *,
        encoded: bytes,
        ended: Callable[[ExchangeEnd, Response | None], None],
        identity: Header | None = None,
        has_body: bool = True,
    ) -> None:
        """Take the request as written; ``has_body`` is false for HEAD."""
        self.encoded = encoded
        self.identity = identity
        self.has_body = has_body
        self.ended = ended


class ClientConnection(Protocol):
    """One connection to a server; one exchange at a time."""

    __slots__ = (
        '_closed',
        '_freed',
        '_transport',
        '_parser',
        '_exchange',
        '_status',
        '_headers',
        '_body',
        '_is_delimited',
        '_is_passed_over',
        '_has_head',
        '_has_bytes',
        '_has_surplus',
        '_keeps_alive',
        '_ready',
        '_is_first',
        'idle_since',
        'idle_limit_seconds',
    )

    def __init__(
        self,
        closed: Callable[['ClientConnection'], None],
        freed: Callable[['ClientConnection'], None],
    ) -> None:
        """Call ``freed`` when it may be used again, ``closed`` at its end."""
        self._closed = closed
        self._freed = freed
        self._transport: Transport | None = None
        self._parser = HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._is_first = True
        self.idle_since = float(0)
        #: How long the server keeps an idle connection, as far as it said.
        self.idle_limit_seconds: float | None = None
        self._has_bytes = False
        self._has_surplus = False
        self._keeps_alive = True
        self._ready: Response | None = None
        self.on_message_begin()

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry another exchange."""
        return self._transport is not None

    def send(self, exchange: Exchange) -> None:
        """Write a request; the connection must be open and idle."""
        self._exchange = exchange
        self._has_bytes = False
        if self._transport is not None:
            self._transport.write(exchange.encoded)

    def cancel(self) -> None:
        """Give the exchange up and close the connection."""
        self.close()
        self._end(ExchangeEnd.CANCELLED, None)

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            transport = self._transport
            self._transport = None
            transport.abort()

    # What asyncio calls.

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; a clean end may complete an unframed answer."""
        self._transport = None
        if exc is None and self._ends_here():
            self._end(ExchangeEnd.COMPLETE, self._response())
        self._end(self._loss(), None)
        self._closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent; idle connections expect nothing."""
        if self._exchange is None:
            self.close()
            return
        self._has_bytes = True
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._has_surplus = True
            if self._ready is None:
                self.close()
                self._end(ExchangeEnd.INCOMPLETE, None)
        self._deliver()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start over with an empty message."""
        if self._ready is not None:
            self._has_surplus = True
        self._status = 0
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._is_delimited = False
        self._is_passed_over = False
        self._has_head = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        lower = name.lower()
        if lower in _FRAMING:
            self._is_delimited = True
        self._headers.append((lower, text))

    def on_headers_complete(self) -> None:
        """Check whose response it is."""
        self._status = self._parser.get_status_code()
        self._has_head = True
        exchange = self._exchange
        if exchange is None:
            return
        if exchange.identity is not None:
            name, wanted = exchange.identity
            echoed = first_header(self._headers, name)
            self._is_passed_over = bool(echoed) and echoed != wanted
        if not exchange.has_body and not self._is_passed_over:
            self._keeps_alive = False
            self._ready = self._response()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Have the response ready, or wait for the one that belongs here."""
        is_interim = self._status < _INTERIM_END
        if is_interim or self._is_passed_over or self._ready is not None:
            return
        is_framed = self._is_delimited or self._status in BODILESS
        self._keeps_alive = is_framed and self._parser.should_keep_alive()
        self._note_idle_limit()
        self._ready = self._response()

    def _response(self) -> Response:
        return Response(
            status=self._status,
            headers=self._headers,
            body=b''.join(self._body),
        )

    def _deliver(self) -> None:
        """Hand over the response once all bytes at hand were parsed."""
        response = self._ready
        if response is None:
            return
        self._ready = None
        if self._has_surplus or not self._keeps_alive:
            self.close()
        self._end(ExchangeEnd.COMPLETE, response)

    def _end(self, end: ExchangeEnd, response: Response | None) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        self._exchange = None
        self._is_first = False
        self.idle_since = monotonic()
        if self._transport is not None:
            self._freed(self)
        exchange.ended(end, response)

    def _ends_here(self) -> bool:
        """Tell whether a clean end of the connection ends the response."""
        if self._is_passed_over or self._is_delimited:
            return False
        is_final = self._status >= _INTERIM_END
        return is_final and self._has_head

    def _loss(self) -> ExchangeEnd:
        if self._has_bytes or self._is_first:
            return ExchangeEnd.INCOMPLETE
        return ExchangeEnd.CLOSED

    def _note_idle_limit(self) -> None:
        options = first_header(self._headers, b'keep-alive')
        if not options.startswith(_TIMEOUT_OPTION):
            return
        first = options.partition(b',')[0]
        seconds = first.removeprefix(_TIMEOUT_OPTION).strip()
        if seconds.isdigit():
            self.idle_limit_seconds = float(seconds)
