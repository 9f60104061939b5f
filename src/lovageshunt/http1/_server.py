"""The server side: connections that receive requests from clients."""

from asyncio import BaseTransport, Transport
from logging import getLogger
from time import monotonic
from typing import Any, Final, cast
from typing import Protocol as Interface

from lovageshunt._memory_account import (
    CALL_BYTES,
    COPIED_BYTES,
    MemoryAccount,
)
from lovageshunt._receiving import ReceivingProtocol
from lovageshunt.http1._limits import ServerLimits
from lovageshunt.http1._messages import Request, encode_response
from lovageshunt.http1._open_connections import OpenConnections
from lovageshunt.http1._received_requests import ReceivedRequests
from lovageshunt.http1._request_reader import STATUS_BY_FAULT

_log = getLogger(__name__)
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
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

    ``open_connections`` are those that the connection is one of while it is
    open, ``account`` bounds what all of them hold. If ``closes_next`` is true,
    the next response announces that the connection closes.
    ``last_progress_at`` is in seconds on the monotonic clock.
    """

    __slots__ = (
        '_handler',
        '_limits',
        '_open_connections',
        '_account',
        '_holding',
        '_transport',
        '_received',
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
        open_connections: OpenConnections['ServerConnection'],
        account: MemoryAccount | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._open_connections = open_connections
        self._account = account or MemoryAccount()
        self._holding = self._account.open(self)
        self._transport: Transport | None = None
        self._current: Request | None = None
        self._current_bytes = 0
        self._unread_bytes = 0
        self._token: Any = None
        self._is_starting = False
        self._is_broken = False
        self.closes_next = False
        self.last_progress_at = monotonic()
        self._received = ReceivedRequests(limits, self.last_progress_at)

    # Called by asyncio.

    def connection_made(self, transport: BaseTransport) -> None:
        """Join the set of open connections."""
        self._transport = cast(Transport, transport)
        self._open_connections.add(self)
        # Tells of each byte that is not sent at once.
        self._transport.set_write_buffer_limits(high=0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request in progress; its client has disconnected."""
        self._transport = None
        self._open_connections.discard(self)
        self._received.drop()
        self._holding.close()
        token = self._token
        self._current = None
        self._token = None
        if token is not None:
            self._handler.abandon(token)

    def data_received(self, data: bytes) -> None:
        """Parse data from the client; refuse what is no request."""
        self.last_progress_at = monotonic()
        self._open_connections.touch(self)
        if self._is_broken:
            return
        self._received.feed(data, self.last_progress_at)
        # What is whole is started only if there is room for it.
        self._count_held()
        self._start_waiting()
        if self._received.take_expectation() and self._transport is not None:
            self._transport.write(_CONTINUE)
        fault = self._received.fault
        if fault is not None:
            self._refuse(STATUS_BY_FAULT[fault], fault)

    def eof_received(self) -> None:
        """Close the connection: a half-closed one counts as disconnected."""

    def pause_writing(self) -> None:
        """Count what the client has not read."""
        transport = self._transport
        if transport is not None and not self._unread_bytes:
            self._unread_bytes = transport.get_write_buffer_size()
            self._count_held()

    def resume_writing(self) -> None:
        """Go on with the next request once the client has read."""
        self._unread_bytes = 0
        self.last_progress_at = monotonic()
        self._open_connections.touch(self)
        self._count_held()
        self._start_waiting()

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
        self._current_bytes = 0
        closes = self.closes_next or not request.keeps_alive or self._is_broken
        encoded = encode_response(
            status=status,
            fields=fields,
            body=body,
            closes=closes,
            has_body=request.method != b'HEAD',
        )
        self.last_progress_at = monotonic()
        self._open_connections.touch(self)
        self._transport.write(encoded)
        if closes:
            self._is_broken = True
            self._received.drop()
            self._transport.close()
        self._count_held()
        self._start_waiting()
        return True

    # Called by ``MemoryAccount``.

    @property
    def can_be_given_up(self) -> bool:
        """Whether something is held that was not started, or not read."""
        return self._holding.releasable_bytes > 0

    def give_up(self, cause: str = 'memory') -> None:
        """Release what was not started, and what the client does not read.

        A client whose request was not started is told; one whose request is
        in progress gets its response, and then the connection is closed.
        """
        if self._unread_bytes and self._transport is not None:
            self._log_refusal('unread')
            self._is_broken = True
            self._unread_bytes = 0
            self._received.drop()
            self._transport.abort()
            self._count_held()
        else:
            self._refuse(_UNAVAILABLE, cause, _GIVEN_UP_FIELDS)

    @property
    def current(self) -> Request | None:
        """The request in progress, if there is one."""
        return self._current

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return self._current is None and not self._received.is_reading

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
        if self._received.is_late(now):
            self._refuse(_REQUEST_TIMEOUT, 'time')
        elif elapsed > self._limits.idle_seconds:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection now, with what its client has not read."""
        if self._transport is not None:
            self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection if no request would be lost."""
        if self._transport is not None and self.is_idle:
            self._transport.close()

    def _count_held(self) -> None:
        """Tell the account what is held, and what could be released."""
        releasable = 0
        if self._transport is not None:
            releasable = self._unread_bytes + self._received.taken_bytes
        self._holding.update(self._current_bytes + releasable, releasable)

    @property
    def _is_busy(self) -> bool:
        """Whether no request can be started now."""
        return self._current is not None or self._unread_bytes > 0

    def _start_waiting(self) -> None:
        """Start the requests that wait, and read on.

        A handler may respond within its call, so that the next request starts
        in this loop and not in a deeper call.
        """
        if self._is_starting:
            return
        received = self._received
        self._is_starting = True
        try:
            # What was received on a connection that closes is dropped.
            while received.has_whole and not self._is_busy:
                self._start(*received.take())
        finally:
            self._is_starting = False
        if self._transport is None:
            return
        if received.are_many or self._is_busy and received.are_large:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _start(self, request: Request, taken_bytes: int) -> None:
        self._current = request
        copied = min(len(request.body), COPIED_BYTES)
        self._current_bytes = taken_bytes + copied + CALL_BYTES
        self._count_held()
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
        self._received.drop()
        self._count_held()
        if self._current is not None or self._transport is None:
            return
        encoded = encode_response(
            status=status, fields=fields, body=b'', closes=True
        )
        self._transport.write(encoded)
        self._transport.close()

    def _log_refusal(self, cause: str) -> None:
        """Count and log a client that is not served any more."""
        self._account.refused_by_cause[cause] += 1
        peer = None
        if self._transport is not None:
            peer = self._transport.get_extra_info('peername')
        _log.info(
            'closing the connection of a client',
            extra={
                'cause': cause,
                'peer': peer and f'{peer[0]}:{peer[1]}',
                'held_bytes': self._holding.taken_bytes,
                'all_held_bytes': self._account.held_bytes,
            },
        )
