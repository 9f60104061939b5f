"""A pool of persistent connections to one server."""

from asyncio import Task, get_running_loop, timeout
from logging import getLogger
from time import monotonic
from typing import Final

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.http1._client import (
    ClientConnection,
    EndedCallback,
    Exchange,
)
from lovageshunt.http1._limits import ResponseBuffers, ResponseLimits
from lovageshunt.http1._messages import ExchangeEnd, Response

_log = getLogger(__name__)
#: Both ends are on one VM, so a server that takes longer to accept a
#: connection has no capacity for it.
_CONNECT_TIMEOUT_SECONDS: Final = 2.0
#: The longest time to find out whether the server refuses connections.
_CHECK_TIMEOUT_SECONDS: Final = 0.1
#: An idle connection is not reused within this time before the server's own
#: limit, because the server may already be closing it.
_IDLE_MARGIN_SECONDS: Final = 1.0
#: Idle limit assumed for a server that announces none.
_DEFAULT_IDLE_LIMIT_SECONDS: Final = 5.0


class PendingExchange:
    """An exchange that was handed to a pool; it ends exactly once."""

    __slots__ = ('_ended', '_exchange', '_connection')

    def __init__(self, exchange: Exchange) -> None:
        self._ended: EndedCallback | None = exchange.ended
        self._exchange: Exchange | None = Exchange(
            encoded=exchange.encoded,
            body=exchange.body,
            identity=exchange.identity,
            has_body=exchange.has_body,
            ended=self.end,
        )
        self._connection: ClientConnection | None = None

    @property
    def is_over(self) -> bool:
        """Whether the end of the exchange was reported."""
        return self._ended is None

    def begin(self, connection: ClientConnection) -> None:
        """Send the request on a connection."""
        if self._exchange is not None:
            self._connection = connection
            connection.send(self._exchange)

    def end(self, end: ExchangeEnd, response: Response | None) -> None:
        """Report the end, unless one was reported before."""
        ended = self._ended
        if ended is None:
            return
        # Without these references the request is freed at once, not when the
        # garbage collector finds the cycle.
        self._ended = None
        self._exchange = None
        self._connection = None
        ended(end, response)

    def withdraw(self) -> None:
        """End the exchange unsent, unless it has been given a connection."""
        if self._connection is None:
            self.end(ExchangeEnd.UNSENT, None)

    def cancel(self) -> None:
        """Cancel the exchange; close its connection if it was sent."""
        if self._connection is not None:
            self._connection.cancel()
        self.end(ExchangeEnd.CANCELLED, None)


class ConnectionPool:
    """Sends exchanges to one address, reusing idle connections.

    At most ``max_connections`` connections are open at a time; ``limits``
    bounds what they hold of responses, which ``account`` counts.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_connections: int,
        limits: ResponseLimits | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        self._buffers = ResponseBuffers(limits or ResponseLimits(), account)
        self._host = host
        self._port = port
        self.max_connections = max_connections
        self._idle: list[ClientConnection] = []
        self._open_count = 0
        self._connecting: set[Task[None]] = set()

    @property
    def open_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._open_count

    def send(
        self,
        exchange: Exchange,
        max_idle_seconds: float | None = None,
    ) -> PendingExchange:
        """Send on an idle connection, or else on a new one.

        ``max_idle_seconds`` excludes connections that were idle for longer,
        for a request that must not be sent while the server closes the
        connection. A connection that has carried the same request before is
        not used. If none is available, the exchange ends unsent.
        """
        pending = PendingExchange(exchange)
        connection = self._take_idle(exchange, max_idle_seconds)
        if connection is None:
            self._open(pending)
        else:
            pending.begin(connection)
        return pending

    async def refuses_connections(self) -> bool:
        """Open a connection; return whether the server refuses it.

        The connection is kept for later exchanges. A server that does not
        respond in time does not refuse, nor does one at the limit of
        connections.
        """
        if self._open_count >= self.max_connections:
            return False
        self._open_count += 1
        try:
            async with timeout(_CHECK_TIMEOUT_SECONDS):
                connection = await self._connection()
        except OSError as error:
            self._open_count -= 1
            _log.info(
                'cannot connect to %s:%d after a connection was lost: %s',
                self._host,
                self._port,
                error or type(error).__name__,
            )
            return isinstance(error, ConnectionRefusedError)
        self._on_free(connection)
        return False

    def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def close_stale(self) -> None:
        """Close the connections that were idle for longer than their limit."""
        now = monotonic()
        stale = [
            connection
            for connection in self._idle
            if _is_idle_for_too_long(connection, now, None)
        ]
        for connection in stale:
            self._idle.remove(connection)
            connection.close()

    def _take_idle(
        self, exchange: Exchange, max_idle_seconds: float | None
    ) -> ClientConnection | None:
        """Take the connection that was used last, of those that are fit."""
        now = monotonic()
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            if not connection.is_open or _is_idle_for_too_long(
                connection, now, max_idle_seconds
            ):
                self._idle.pop(index)
                connection.close()
            elif connection.may_carry(exchange):
                return self._idle.pop(index)
        return None

    def _open(self, pending: PendingExchange) -> None:
        if self._open_count >= self.max_connections:
            pending.end(ExchangeEnd.UNSENT, None)
            return
        self._open_count += 1
        task = get_running_loop().create_task(self._connect(pending))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, pending: PendingExchange) -> None:
        try:
            async with timeout(_CONNECT_TIMEOUT_SECONDS):
                connection = await self._connection()
        except OSError as error:
            _log.warning(
                'cannot connect to %s:%d: %s; check that the target is running',
                self._host,
                self._port,
                error or type(error).__name__,
            )
            self._open_count -= 1
            is_refused = isinstance(error, ConnectionRefusedError)
            pending.end(
                ExchangeEnd.REFUSED if is_refused else ExchangeEnd.UNSENT, None
            )
            return
        if pending.is_over:
            self._on_free(connection)
            return
        pending.begin(connection)

    async def _connection(self) -> ClientConnection:
        _, connection = await get_running_loop().create_connection(
            self._new_connection,
            self._host,
            self._port,
        )
        return connection

    def _new_connection(self) -> ClientConnection:
        return ClientConnection(self._on_closed, self._on_free, self._buffers)

    def _on_free(self, connection: ClientConnection) -> None:
        connection.idle_since = monotonic()
        self._idle.append(connection)

    def _on_closed(self, connection: ClientConnection) -> None:
        self._open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)


def _is_idle_for_too_long(
    connection: ClientConnection,
    now: float,
    max_idle_seconds: float | None,
) -> bool:
    limit = connection.idle_limit_seconds or _DEFAULT_IDLE_LIMIT_SECONDS
    limit = max(limit - _IDLE_MARGIN_SECONDS, limit / 2)
    if max_idle_seconds is not None:
        limit = min(limit, max_idle_seconds)
    return now - connection.idle_since > limit
