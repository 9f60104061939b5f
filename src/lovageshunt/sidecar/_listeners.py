"""The listeners of a sidecar, and the connections that they accept."""

from asyncio import BaseProtocol, Server, get_running_loop
from collections.abc import Callable
from time import monotonic
from typing import Final

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.http1 import (
    OpenConnections,
    RequestHandler,
    ServerConnection,
    ServerLimits,
)
from lovageshunt.routes import Configuration
from lovageshunt.settings import Address, SidecarClientsSection

_BYTES_PER_MEBIBYTE: Final = 1024 * 1024
#: The largest number of connections that wait to be accepted.
_MAX_BACKLOG: Final = 1024
#: How many connections are looked at to close one of them in favour of a new
#: one: accepting must stay cheap.
_MAX_CANDIDATES: Final = 64
#: Request heads may have this many times the configured size, because the
#: configuration counts their bytes differently.
_HEAD_SIZE_FACTOR: Final = 2


class Listeners:
    """Opens listeners and closes connections whose time is over.

    ``clients`` are the open connections of clients, at most as many as the
    settings allow beside those with a request in progress; ``account`` bounds
    what the process holds.
    """

    __slots__ = (
        'clients',
        '_others',
        'account',
        '_max_connections',
        '_limits',
        '_servers',
    )

    def __init__(self, settings: SidecarClientsSection) -> None:
        self.account = MemoryAccount(
            settings.held_mebibytes * _BYTES_PER_MEBIBYTE
        )
        self._max_connections = settings.connections
        self.clients: OpenConnections[ServerConnection] = OpenConnections()
        self._others: OpenConnections[ServerConnection] = OpenConnections()
        self._limits = ServerLimits()
        self._servers: list[Server] = []

    async def open_to_clients(
        self, address: Address, handler: RequestHandler
    ) -> None:
        """Accept the connections of clients."""
        await self.open(
            address, lambda: self._new_connection(handler, self.clients)
        )

    async def open_to_operators(
        self, address: Address, handler: RequestHandler
    ) -> None:
        """Accept the connections of probes and of those who read metrics."""
        await self.open(
            address, lambda: self._new_connection(handler, self._others)
        )

    async def open(
        self, address: Address, accept: Callable[[], BaseProtocol]
    ) -> None:
        """Accept connections at an address."""
        server = await get_running_loop().create_server(
            accept,
            address.host,
            address.port,
            backlog=_MAX_BACKLOG,
            start_serving=False,
        )
        # Nothing is awaited between the server and its entry here, so that
        # ``close`` finds it also if the start is cancelled.
        self._servers.append(server)
        await server.start_serving()

    def apply_limits(self, configuration: Configuration) -> None:
        """Apply the limits of a configuration to all connections."""
        limits = self._limits
        limits.head_bytes = configuration.head_bytes * _HEAD_SIZE_FACTOR
        limits.body_bytes = configuration.body_bytes
        limits.head_seconds = configuration.head_seconds
        limits.idle_seconds = configuration.idle_seconds

    def close_due(self) -> None:
        """Close the connections whose time limits have passed."""
        now = monotonic()
        for connections in (self.clients, self._others):
            for connection in connections:
                connection.close_if_due(now)

    def close(self) -> None:
        """Stop accepting connections."""
        for server in self._servers:
            server.close()

    def _new_connection(
        self, handler: RequestHandler, others: OpenConnections[ServerConnection]
    ) -> ServerConnection:
        """Return a connection; close another one if they are many.

        Of those without progress for longest an idle one goes first, then one
        whose request is not whole.
        """
        if len(others) >= self._max_connections:
            stalled = others.longest_stalled(_MAX_CANDIDATES)
            idle = [each for each in stalled if each.is_idle]
            partial = [each for each in stalled if each.can_be_given_up]
            for oldest in (idle or partial)[:1]:
                others.discard(oldest)
                self._close_spare(oldest)
        return ServerConnection(handler, self._limits, others, self.account)

    def _close_spare(self, connection: ServerConnection) -> None:
        """Close a connection in favour of a new one."""
        if connection.is_idle:
            self.account.refused_by_cause['connections'] += 1
            connection.close_idle()
            if connection.is_sending:
                # It would stay open until its client reads.
                connection.abort()
        else:
            connection.give_up('connections')
