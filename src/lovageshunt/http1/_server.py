"""The server side: connections that receive requests from clients."""

from asyncio import BaseTransport, Transport
from collections import deque
from logging import getLogger
from time import monotonic
from typing import Any, Final, cast
from typing import Protocol as Interface

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from lovageshunt._receiving import ReceivingProtocol
from lovageshunt.http1._limits import ServerLimits
from lovageshunt.http1._messages import Header, Request, encode_response
from lovageshunt.http1._upgrade import encode_head_without_upgrade

_log = getLogger(__name__)
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Reading is paused once this many requests wait for the one in progress.
_MAX_PIPELINED_REQUESTS: Final = 8
_CONNECT: Final = b'CONNECT'
_BAD_REQUEST: Final = 400
_REQUEST_TIMEOUT: Final = 408
_CONTENT_TOO_LARGE: Final = 413
_HEADERS_TOO_LARGE: Final = 431


class RequestHandler(Interface):
    """Handles the complete requests of all client connections."""

    def handle(self, request: Request, connection: 'ServerConnection') -> Any:
        """Start to handle a request; return a token for ``abandon``.

        ``connection.respond`` is called once, within this call or later.
        """

    def abandon(self, token: Any) -> None:
        """Give up a request whose client has disconnected."""


class ServerConnection(ReceivingProtocol):
    """One client connection; requests are handled one at a time.

    ``open_connections`` is the set that the connection is in while it is
    open. If ``closes_next`` is true, the next response announces that the
    connection closes.
    """

    __slots__ = (
        '_handler',
        '_limits',
        '_open_connections',
        '_transport',
        '_parser',
        '_target',
        '_headers',
        '_body',
        '_head_size',
        '_body_size',
        '_pipelined',
        '_current',
        '_token',
        '_is_broken',
        '_is_reading',
        '_last_activity_at',
        'closes_next',
    )

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        open_connections: set['ServerConnection'],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._open_connections = open_connections
        self._transport: Transport | None = None
        self._parser = HttpRequestParser(self)
        self._pipelined: deque[Request] = deque()
        self._current: Request | None = None
        self._token: Any = None
        self._is_broken = False
        self._is_reading = False
        self._last_activity_at = monotonic()
        self.closes_next = False
        self._begin_message()

    # Called by asyncio.

    def connection_made(self, transport: BaseTransport) -> None:
        """Join the set of open connections."""
        self._transport = cast(Transport, transport)
        self._open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request in progress; its client has disconnected."""
        self._transport = None
        self._open_connections.discard(self)
        self._pipelined.clear()
        if self._current is not None:
            self._current = None
            self._handler.abandon(self._token)
            self._token = None

    def data_received(self, data: bytes) -> None:
        """Parse data from the client; refuse malformed requests."""
        self._last_activity_at = monotonic()
        while data and not self._is_broken:
            try:
                self._parser.feed_data(data)
            except HttpParserUpgrade as upgrade:
                data = self._without_upgrade(data[upgrade.args[0] :])
                continue
            except HttpParserError as error:
                _log.info('refusing a malformed request: %s', error)
                self._refuse(_BAD_REQUEST)
            return

    def eof_received(self) -> None:
        """Close the connection: a half-closed one counts as disconnected."""

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the state of the message."""
        self._begin_message()
        self._is_reading = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self._target += url
        self._head_size += len(url)
        if self._head_size > self._limits.head_bytes:
            self._refuse(_HEADERS_TOO_LARGE)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; refuse a head that is too large."""
        self._headers.append((name.lower(), text))
        self._head_size += len(name) + len(text)
        if self._head_size > self._limits.head_bytes:
            self._refuse(_HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Send ``100 Continue`` to a client that waits for it."""
        if self._parser.should_upgrade():
            return
        for name, text in self._headers:
            if name == b'expect' and text.lower() == b'100-continue':
                self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; refuse a body that is too large."""
        self._body_size += len(body)
        if self._body_size > self._limits.body_bytes:
            self._refuse(_CONTENT_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the one in progress."""
        if self._is_broken or self._parser.should_upgrade():
            return
        self._is_reading = False
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b''.join(self._body),
            keeps_alive=self._parser.should_keep_alive(),
        )
        if self._current is None:
            self._start(request)
            return
        self._pipelined.append(request)
        if (
            len(self._pipelined) >= _MAX_PIPELINED_REQUESTS
            and self._transport is not None
        ):
            self._transport.pause_reading()

    # Called by the handler.

    def respond(self, *, status: int, fields: bytes, body: bytes) -> bool:
        """Send the response; return false if the client has disconnected."""
        request = self._current
        if request is None or self._transport is None:
            return False
        self._current = None
        self._token = None
        closes = self.closes_next or not request.keeps_alive
        encoded = encode_response(
            status=status,
            fields=fields,
            body=body,
            closes=closes,
            has_body=request.method != b'HEAD',
        )
        self._transport.write(encoded)
        self._last_activity_at = monotonic()
        if closes or self._is_broken:
            self._transport.close()
        elif self._pipelined:
            self._transport.resume_reading()
            self._start(self._pipelined.popleft())
        return True

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return self._current is None and not self._is_reading

    @property
    def is_sending(self) -> bool:
        """Whether the client has not yet taken all of its responses."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def close_if_due(self, now: float) -> None:
        """Close the connection if a time limit of its client has passed.

        ``now`` is on the monotonic clock, in seconds.
        """
        if self._transport is None or self._current is not None:
            return
        elapsed = now - self._last_activity_at
        if self._is_reading and elapsed > self._limits.head_seconds:
            self._refuse(_REQUEST_TIMEOUT)
        elif elapsed > self._limits.idle_seconds:
            self._transport.close()

    def close_idle(self) -> None:
        """Close the connection if no request would be lost."""
        if self._transport is not None and self.is_idle:
            self._transport.close()

    def _begin_message(self) -> None:
        self._target = b''
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._head_size = 0
        self._body_size = 0

    def _without_upgrade(self, rest: bytes) -> bytes:
        """Return what is to be parsed instead of a request with an upgrade.

        The parser ends such a request with its head and leaves ``rest`` for
        the other protocol. As no upgrade is supported, the request is parsed
        again without the offer, by a new parser, and keeps its body.
        """
        method = self._parser.get_method()
        if method == _CONNECT:
            self._refuse(_BAD_REQUEST)
            return b''
        head = encode_head_without_upgrade(
            method=method,
            target=self._target,
            version=self._parser.get_http_version(),
            headers=self._headers,
        )
        self._parser = HttpRequestParser(self)
        return head + rest

    def _start(self, request: Request) -> None:
        self._current = request
        token = self._handler.handle(request, self)
        # The handler may have responded within the call.
        if self._current is request:
            self._token = token

    def _refuse(self, status: int) -> None:
        """Accept no more data; send ``status`` if no request is in progress."""
        if self._is_broken:
            return
        self._is_broken = True
        if self._current is not None or self._transport is None:
            return
        encoded = encode_response(
            status=status, fields=b'', body=b'', closes=True
        )
        self._transport.write(encoded)
        self._transport.close()

    def _write(self, encoded: bytes) -> None:
        if self._transport is not None:
            self._transport.write(encoded)
