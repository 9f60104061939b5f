"""The side that takes requests."""

from asyncio import BaseTransport, Protocol, Transport
from collections import deque
from logging import getLogger
from time import monotonic
from typing import Any, Final, cast
from typing import Protocol as Interface

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from lovageshunt.http1._limits import ServerLimits
from lovageshunt.http1._messages import Header, Request, encode_response

_log = getLogger(__name__)
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Requests read ahead of their turn before reading is paused.
_MOST_AHEAD: Final = 8
_BAD_REQUEST: Final = 400
_TIMED_OUT: Final = 408
_TOO_LARGE: Final = 413
_HEAD_TOO_LARGE: Final = 431


class RequestHandler(Interface):
    """Takes the whole requests of all client connections."""

    def handle(self, request: Request, connection: 'ServerConnection') -> Any:
        """Begin a request; return a token for ``abandon``.

        The answer goes to ``connection.respond`` once, now or later.
        """

    def abandon(self, token: Any) -> None:
        """Give up a request whose client has left."""


class ServerConnection(Protocol):
    """One client connection; requests are served one at a time."""

    __slots__ = (
        '_handler',
        '_limits',
        '_open',
        '_transport',
        '_parser',
        '_target',
        '_headers',
        '_body',
        '_head_size',
        '_body_size',
        '_ahead',
        '_current',
        '_token',
        '_is_broken',
        '_is_reading',
        '_since',
        'closes_next',
    )

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        open_connections: set['ServerConnection'],
    ) -> None:
        """Serve with a handler; join the set of open connections."""
        self._handler = handler
        self._limits = limits
        self._open = open_connections
        self._transport: Transport | None = None
        self._parser = HttpRequestParser(self)
        self._ahead: deque[Request] = deque()
        self._current: Request | None = None
        self._token: Any = None
        self._is_broken = False
        self._is_reading = False
        self._since = monotonic()
        #: The next answer announces that the connection closes.
        self.closes_next = False
        self._begin_message()

    # What asyncio calls.

    def connection_made(self, transport: BaseTransport) -> None:
        """Join the open connections."""
        self._transport = cast(Transport, transport)
        self._open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request in progress; its client has left."""
        self._transport = None
        self._open.discard(self)
        self._ahead.clear()
        if self._current is not None:
            self._current = None
            self._handler.abandon(self._token)
            self._token = None

    def data_received(self, data: bytes) -> None:
        """Parse what the client sent."""
        if self._is_broken:
            return
        self._since = monotonic()
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._refuse(_BAD_REQUEST)
        except HttpParserError as error:
            _log.info('a request was malformed and is refused: %s', error)
            self._refuse(_BAD_REQUEST)

    def eof_received(self) -> None:
        """Take a half-closed connection for a client that has left."""

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start over with an empty message."""
        self._begin_message()
        self._is_reading = True

    def on_url(self, url: bytes) -> None:
        """Collect the request target, which may come in parts."""
        self._target += url
        self._check_head(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), text))
        self._check_head(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Tell a client that waits with its body to go on."""
        for name, text in self._headers:
            if name == b'expect' and text.lower() == b'100-continue':
                self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect the body within its bound."""
        self._body_size += len(body)
        if self._body_size > self._limits.body_bytes:
            self._refuse(_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Serve the request, or keep it until its turn."""
        if self._is_broken:
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
        self._ahead.append(request)
        if len(self._ahead) >= _MOST_AHEAD and self._transport is not None:
            self._transport.pause_reading()

    # What the handler calls.

    def respond(self, *, status: int, fields: bytes, body: bytes) -> bool:
        """Answer the request in progress; tell whether its client is there."""
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
        self._since = monotonic()
        if closes or self._is_broken:
            self._transport.close()
        elif self._ahead:
            self._transport.resume_reading()
            self._start(self._ahead.popleft())
        return True

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress or half read."""
        return self._current is None and not self._is_reading

    def close_if_due(self, now: float) -> None:
        """Close a connection that was idle, or sent a head, for too long."""
        if self._transport is None or self._current is not None:
            return
        elapsed = now - self._since
        if self._is_reading and elapsed > self._limits.head_seconds:
            self._refuse(_TIMED_OUT)
        elif elapsed > self._limits.idle_seconds:
            self._transport.close()

    def close_idle(self) -> None:
        """Close the connection if nothing would be lost."""
        if self._transport is not None and self.is_idle:
            self._transport.close()

    def _begin_message(self) -> None:
        self._target = b''
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._head_size = 0
        self._body_size = 0

    def _check_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._limits.head_bytes:
            self._refuse(_HEAD_TOO_LARGE)

    def _start(self, request: Request) -> None:
        self._current = request
        token = self._handler.handle(request, self)
        # The answer may have been given within the call.
        if self._current is request:
            self._token = token

    def _refuse(self, status: int) -> None:
        """Answer what cannot be served, and read no more."""
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
