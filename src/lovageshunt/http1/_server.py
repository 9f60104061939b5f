"""The server side: connections that receive requests from clients."""

from asyncio import BaseTransport, Transport
from collections import deque
from logging import getLogger
from time import monotonic
from typing import Any, Final, cast
from typing import Protocol as Interface

from lovageshunt._receive_buffers import ReceiveBuffers
from lovageshunt._receiving import ReceivingProtocol
from lovageshunt.http1._limits import ServerLimits
from lovageshunt.http1._messages import Request, encode_response
from lovageshunt.http1._request_reader import STATUS_BY_FAULT, RequestReader

_log = getLogger(__name__)
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Reading is paused once this many requests wait for the one in progress.
_MAX_PIPELINED_REQUESTS: Final = 8
#: Reading is paused once this much was received beyond the request in
#: progress, in bytes.
_MAX_AHEAD_BYTES: Final = 64 * 1024
#: A response of which no more is unread does not count as held, in bytes.
_MIN_UNREAD_BYTES: Final = 64 * 1024
#: How many times its limit a head may take to arrive as a whole: a limit that
#: holds for clients on a slow machine, too.
_HEAD_TIME_FACTOR: Final = 2
_REQUEST_TIMEOUT: Final = 408
_UNAVAILABLE: Final = 503
#: ``retry-after`` of a request that is given up for others, in seconds.
_GIVEN_UP_FIELDS: Final = b'retry-after: 1\r\n'


class RequestHandler(Interface):
    """Handles the complete requests of all client connections."""

    def handle(self, request: Request, connection: 'ServerConnection') -> Any:
        """Start to handle a request; return a token for ``abandon``.

        ``connection.respond`` is called once with the request, within this
        call or later.
        """

    def abandon(self, token: Any) -> None:
        """Give up a request whose client has disconnected."""


class ServerConnection(ReceivingProtocol):
    """One client connection; requests are handled one at a time.

    ``open_connections`` is the set that the connection is in while it is
    open, ``buffers`` bounds what all of them hold. If ``closes_next`` is true,
    the next response announces that the connection closes.
    ``last_progress_at`` is in seconds on the monotonic clock.
    """

    __slots__ = (
        '_handler',
        '_limits',
        '_open_connections',
        '_buffers',
        '_transport',
        '_reader',
        '_began_at',
        '_pipelined',
        '_current',
        '_current_bytes',
        '_unread_bytes',
        '_token',
        '_is_starting',
        '_is_broken',
        'closes_next',
        'last_progress_at',
    )

    def __init__(
        self,
        handler: RequestHandler,
        limits: ServerLimits,
        open_connections: set['ServerConnection'],
        buffers: ReceiveBuffers | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._open_connections = open_connections
        self._buffers = buffers or ReceiveBuffers()
        self._transport: Transport | None = None
        self._reader = RequestReader(limits)
        self._began_at: float | None = None
        self._pipelined: deque[tuple[Request, int]] = deque()
        self._current: Request | None = None
        self._current_bytes = 0
        self._unread_bytes = 0
        self._token: Any = None
        self._is_starting = False
        self._is_broken = False
        self.closes_next = False
        self.last_progress_at = monotonic()

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
        self._reader.discard()
        self._buffers.release_all(self)
        token = self._token
        self._current = None
        self._token = None
        if token is not None:
            self._handler.abandon(token)

    def data_received(self, data: bytes) -> None:
        """Parse data from the client; refuse what is no request."""
        self.last_progress_at = monotonic()
        if self._is_broken:
            return
        self._buffers.hold(self, len(data))
        if self._is_broken:
            # It was given up itself.
            return
        for request, received_bytes in self._reader.feed(data):
            self._take(request, received_bytes)
        self._note_unfinished()
        fault = self._reader.fault
        if fault is not None:
            self._refuse(STATUS_BY_FAULT[fault], fault)

    def eof_received(self) -> None:
        """Close the connection: a half-closed one counts as disconnected."""

    def pause_writing(self) -> None:
        """Count what the client has not read."""
        transport = self._transport
        if transport is not None and not self._unread_bytes:
            self._unread_bytes = transport.get_write_buffer_size()
            self._buffers.hold(self, self._unread_bytes)

    def resume_writing(self) -> None:
        """Go on with the next request once the client has read."""
        self._buffers.release(self, self._unread_bytes)
        self._unread_bytes = 0
        self.last_progress_at = monotonic()
        if self._current is None:
            self._start_next()

    # Called by the handler.

    def respond(
        self, request: Request, *, status: int, fields: bytes, body: bytes
    ) -> bool:
        """Send the response to a request; return whether it was sent.

        It is not if the client has disconnected, nor if the request was
        responded to before.
        """
        if request is not self._current or self._transport is None:
            return False
        self._current = None
        self._token = None
        self._buffers.release(self, self._current_bytes)
        closes = self.closes_next or not request.keeps_alive
        encoded = encode_response(
            status=status,
            fields=fields,
            body=body,
            closes=closes,
            has_body=request.method != b'HEAD',
        )
        self.last_progress_at = monotonic()
        self._transport.write(encoded)
        if closes or self._is_broken:
            self._is_broken = True
            self._transport.close()
        elif not self._unread_bytes:
            self._start_next()
        return True

    @property
    def current(self) -> Request | None:
        """The request in progress, if there is one."""
        return self._current

    # Called by ``ReceiveBuffers``.

    @property
    def can_be_given_up(self) -> bool:
        """Whether no request that is whole would be lost."""
        if self._current is not None or self._transport is None:
            return False
        return self._unread_bytes > 0 or self._reader.held_bytes > 0

    def give_up(self, cause: str = 'memory') -> None:
        """Close the connection; tell a client whose request is not whole."""
        if self._unread_bytes and self._transport is not None:
            self._log_refusal('unread')
            self._is_broken = True
            self._transport.abort()
        else:
            self._refuse(_UNAVAILABLE, cause, _GIVEN_UP_FIELDS)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return self._current is None and not self._reader.is_reading

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
        elapsed = now - self.last_progress_at
        if self._is_late(now):
            self._refuse(_REQUEST_TIMEOUT, 'time')
        elif elapsed > self._limits.idle_seconds:
            self._transport.close()

    def close_idle(self) -> None:
        """Close the connection if no request would be lost."""
        if self._transport is not None and self.is_idle:
            self._transport.close()

    def _take(self, request: Request, received_bytes: int) -> None:
        """Handle a request, or queue it behind the one in progress."""
        self._began_at = None
        if self._current is None and not self._unread_bytes:
            self._start(request, received_bytes)
            return
        self._pipelined.append((request, received_bytes))
        is_full = len(self._pipelined) >= _MAX_PIPELINED_REQUESTS
        if is_full and self._transport is not None:
            self._transport.pause_reading()

    def _note_unfinished(self) -> None:
        """Note when a head began; read no large request ahead."""
        reader = self._reader
        if reader.is_reading and self._began_at is None:
            self._began_at = self.last_progress_at
        if reader.expects_continue and self._transport is not None:
            reader.expects_continue = False
            self._transport.write(_CONTINUE)
        ahead = reader.held_bytes + sum(size for _, size in self._pipelined)
        is_ahead = self._current is not None and ahead > _MAX_AHEAD_BYTES
        if is_ahead and self._transport is not None:
            self._transport.pause_reading()

    def _is_late(self, now: float) -> bool:
        """Return whether a request makes no progress, or its head is late."""
        seconds = self._limits.head_seconds
        if self._reader.is_reading and now - self.last_progress_at > seconds:
            return True
        if self._began_at is None or not self._reader.is_in_head:
            return False
        return now - self._began_at > seconds * _HEAD_TIME_FACTOR

    def _start_next(self) -> None:
        """Start the requests that wait, and read on.

        A handler may respond within its call, so that the next request starts
        in this loop and not in a deeper call.
        """
        if self._is_starting or self._transport is None or self._is_broken:
            return
        self._transport.resume_reading()
        self._is_starting = True
        try:
            while self._pipelined and self._current is None:
                if self._unread_bytes or self._is_broken:
                    break
                self._start(*self._pipelined.popleft())
        finally:
            self._is_starting = False

    def _start(self, request: Request, received_bytes: int) -> None:
        self._current = request
        self._current_bytes = received_bytes
        token = self._handler.handle(request, self)
        # The handler may have responded within the call.
        if self._current is request:
            self._token = token

    def _refuse(self, status: int, cause: str, fields: bytes = b'') -> None:
        """Accept no more data; send ``status`` if no request is in progress."""
        if self._is_broken:
            return
        self._is_broken = True
        self._log_refusal(cause)
        self._buffers.release(self, self._reader.held_bytes)
        self._reader.discard()
        if self._current is not None or self._transport is None:
            return
        encoded = encode_response(
            status=status, fields=fields, body=b'', closes=True
        )
        self._transport.write(encoded)
        self._transport.close()

    def _log_refusal(self, cause: str) -> None:
        """Count and log a client that is not served any more."""
        self._buffers.refused_by_cause[cause] += 1
        peer = None
        if self._transport is not None:
            peer = self._transport.get_extra_info('peername')
        _log.info(
            'closing the connection of a client',
            extra={
                'cause': cause,
                'peer': peer and f'{peer[0]}:{peer[1]}',
                'held_bytes': self._reader.held_bytes,
                'all_held_bytes': self._buffers.held_bytes,
            },
        )
