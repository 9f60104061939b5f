"""Kept connections to one server."""

from asyncio import Task, get_running_loop, timeout
from logging import getLogger
from time import monotonic
from typing import Final

from lovageshunt.http1._client import ClientConnection, Exchange
from lovageshunt.http1._messages import ExchangeEnd, Response

_log = getLogger(__name__)
#: How long a connection may take to be made, in seconds; both ends stand on
#: one VM, so a server that takes longer has no room for it.
_CONNECT_SECONDS: Final = 2.0
#: An idle connection is used no later than this before the server's own
#: limit, in seconds: its close may be on the way.
_IDLE_MARGIN_SECONDS: Final = 1.0
#: The idle limit assumed of a server that tells none, in seconds.
_IDLE_SECONDS: Final = 5.0


class PendingExchange:
    """An exchange that was given to a pool; it ends exactly once."""

    __slots__ = ('_ended', '_exchange', '_connection', '_is_over')

    def __init__(self, exchange: Exchange) -> None:
        """Begin without a connection."""
        self._ended = exchange.ended
        self._exchange = Exchange(
            encoded=exchange.encoded,
            identity=exchange.identity,
            has_body=exchange.has_body,
            ended=self.end,
        )
        self._connection: ClientConnection | None = None
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Tell whether the exchange has ended."""
        return self._is_over

    def begin(self, connection: ClientConnection) -> None:
        """Write the request on a connection."""
        self._connection = connection
        connection.send(self._exchange)

    def end(self, end: ExchangeEnd, response: Response | None) -> None:
        """Report the end, unless that was done."""
        if not self._is_over:
            self._is_over = True
            self._connection = None
            self._ended(end, response)

    def cancel(self) -> None:
        """Give the exchange up; what is at work at the server is cut off."""
        if self._connection is not None:
            self._connection.cancel()
        self.end(ExchangeEnd.CANCELLED, None)


class ConnectionPool:
    """Sends exchanges over as few connections to one address as it can."""

    def __init__(self, host: str, port: int, max_connections: int) -> None:
        """Open at most ``max_connections`` connections."""
        self._host = host
        self._port = port
        self.max_connections = max_connections
        self._idle: list[ClientConnection] = []
        self._open_count = 0
        self._connecting: set[Task[None]] = set()

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being made."""
        return self._open_count

    def send(
        self,
        exchange: Exchange,
        fresh_within_seconds: float | None = None,
    ) -> PendingExchange:
        """Send on a kept connection, or on a new one.

        ``fresh_within_seconds`` asks for a connection that was used so
        lately, for a request that must not meet a closing one. With no
        connection to be had the exchange ends unsent.
        """
        sending = PendingExchange(exchange)
        connection = self._take_idle(fresh_within_seconds)
        if connection is None:
            self._open(sending)
        else:
            sending.begin(connection)
        return sending

    def close(self) -> None:
        """Close every idle connection; the others close when they end."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def close_stale(self) -> None:
        """Close the connections that were idle for too long."""
        now = monotonic()
        stale = [each for each in self._idle if _is_stale(each, now, None)]
        for connection in stale:
            self._idle.remove(connection)
            connection.close()

    def _take_idle(self, within: float | None) -> ClientConnection | None:
        now = monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and not _is_stale(connection, now, within):
                return connection
            connection.close()
        return None

    def _open(self, sending: PendingExchange) -> None:
        if self._open_count >= self.max_connections:
            sending.end(ExchangeEnd.UNSENT, None)
            return
        self._open_count += 1
        task = get_running_loop().create_task(self._connect(sending))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, sending: PendingExchange) -> None:
        loop = get_running_loop()
        try:
            async with timeout(_CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._closed, self._freed),
                    self._host,
                    self._port,
                )
        except OSError as error:
            _log.warning(
                'no connection to %s:%d: %s; see that the target runs',
                self._host,
                self._port,
                error or type(error).__name__,
            )
            self._open_count -= 1
            sending.end(ExchangeEnd.UNSENT, None)
            return
        if sending.is_over:
            self._freed(connection)
            return
        sending.begin(connection)

    def _freed(self, connection: ClientConnection) -> None:
        connection.idle_since = monotonic()
        self._idle.append(connection)

    def _closed(self, connection: ClientConnection) -> None:
        self._open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)


def _is_stale(
    connection: ClientConnection,
    now: float,
    within: float | None,
) -> bool:
    limit = connection.idle_limit_seconds or _IDLE_SECONDS
    limit = max(limit - _IDLE_MARGIN_SECONDS, limit / 2)
    if within is not None:
        limit = min(limit, within)
    return now - connection.idle_since > limit
