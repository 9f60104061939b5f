"""One sidecar: its listeners, its parts and its planned stop."""

import gc
from asyncio import Event, Server, get_running_loop, sleep, timeout
from logging import getLogger
from random import Random
from secrets import token_hex
from time import monotonic
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import Request, ServerConnection, ServerLimits
from lovageshunt.links import (
    Dialer,
    Frame,
    Greeting,
    IncomingLink,
    LinkListener,
    OrderBook,
)
from lovageshunt.retries import FleetBudgetSettings
from lovageshunt.routes import Configuration
from lovageshunt.settings import SidecarSettings
from lovageshunt.sidecar._dialect import Dialect
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet, TargetEntry
from lovageshunt.sidecar._origin import Origin

_log = getLogger(__name__)
#: How often connections are looked over, in seconds.
_SWEEP_SECONDS: Final = 0.5
#: A planned stop serves so long at least, in seconds, so that those who send
#: work here have seen that it is no longer ready.
_LINGER_SECONDS: Final = 2.5
#: What a planned stop leaves of its time for the last answers, in seconds.
_LAST_SECONDS: Final = 0.5
#: Connections that may wait to be accepted.
_BACKLOG: Final = 1024
_READY: Final = 200
_NOT_READY: Final = 503


class Sidecar:
    """Carries the requests of one VM and the calls to its target."""

    def __init__(self, settings: SidecarSettings, dialect: Dialect) -> None:
        """Build the parts; nothing is opened yet."""
        self._settings = settings
        self._rng = Random()
        self._limits = ServerLimits()
        self._clients: set[ServerConnection] = set()
        self._probes: set[ServerConnection] = set()
        self._links: set[IncomingLink] = set()
        self._book = OrderBook()
        self._servers: list[Server] = []
        self._stop = Event()
        self.configuration: Configuration | None = None
        self._has_targets = False
        self._greeting = Greeting(
            node=settings.node.name,
            service=settings.node.service,
            incarnation=token_hex(8),
        )
        target = settings.target
        self.executor = Executor(
            host=target.address.host,
            port=target.address.port,
            slots=target.slots,
            dialect=dialect,
        )
        self.fleet = Fleet(
            own_host=settings.listen.nodes.host,
            own_failure_domain=settings.node.failure_domain,
            rng=self._rng,
            make_dialer=self._make_dialer,
        )
        self.origin = Origin(
            own_host=settings.listen.nodes.host,
            own_service=settings.node.service,
            dialect=dialect,
            executor=self.executor,
            fleet=self.fleet,
            budget=FleetBudgetSettings(
                ratio=settings.bounds.retry_ratio,
                reserve=settings.bounds.retry_reserve,
                window_seconds=settings.bounds.retry_window_seconds,
            ),
            rng=self._rng,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether requests can be served."""
        is_known = self.configuration is not None and self._has_targets
        return is_known and not self._stop.is_set()

    def take_configuration(self, configuration: Configuration) -> None:
        """Put a configuration into force, unless it is an older one."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.origin.take(configuration)
        limits = self._limits
        limits.head_bytes = configuration.head_bytes * 2
        limits.body_bytes = configuration.body_bytes
        limits.head_seconds = configuration.head_seconds
        limits.idle_seconds = configuration.idle_seconds
        own = configuration.limits_by_service.get(self._settings.node.service)
        if own is not None:
            self.executor.allow_connections(own.connections)
        _log.info(
            'configuration in force',
            extra={'version': configuration.version},
        )

    def take_targets(self, entries: list[TargetEntry]) -> None:
        """Replace the picture of the fleet's targets."""
        self._has_targets = True
        self.fleet.take(entries)

    def stop(self) -> None:
        """Begin a planned stop."""
        if not self._stop.is_set():
            _log.info('planned stop begins', extra=self._counts())
            self._stop.set()

    async def run(self) -> None:
        """Serve until a planned stop is over."""
        loop = get_running_loop()
        listen = self._settings.listen
        for address, factory in (
            (listen.clients, self._accept_client),
            (listen.nodes, self._accept_link),
            (listen.ready, self._accept_probe),
        ):
            server = await loop.create_server(
                factory,
                address.host,
                address.port,
                backlog=_BACKLOG,
            )
            self._servers.append(server)
        gc.collect()
        gc.freeze()
        _log.info('started', extra={'node': self._settings.node.name})
        while not self._stop.is_set():
            await self._pause(_SWEEP_SECONDS)
            self._sweep()
        await self._wind_down()

    async def _pause(self, seconds: float) -> None:
        try:
            async with timeout(seconds):
                await self._stop.wait()
        except TimeoutError:
            return

    async def _wind_down(self) -> None:
        """Finish what was read, refuse nothing that can still be served."""
        began = clock_now()
        most = self._settings.bounds.stop_seconds - _LAST_SECONDS
        while clock_now() - began < most:
            for connection in list(self._clients):
                connection.closes_next = True
            is_idle = self.origin.open_count == 0 and self.executor.is_empty
            if is_idle and clock_now() - began > _LINGER_SECONDS:
                break
            await sleep(_LAST_SECONDS / 10)
        _log.info('planned stop is over', extra=self._counts())
        for connection in list(self._clients):
            connection.close_idle()
        for server in self._servers:
            server.close()
        self.fleet.close()
        await sleep(_LAST_SECONDS / 10)

    def _counts(self) -> dict[str, int]:
        return {
            'requests': self.origin.open_count,
            'connections': len(self._clients),
        }

    def _sweep(self) -> None:
        now = monotonic()
        for connection in list(self._clients):
            connection.close_if_due(now)
        self.executor.close_stale()

    def _accept_client(self) -> ServerConnection:
        return ServerConnection(self.origin, self._limits, self._clients)

    def _accept_probe(self) -> ServerConnection:
        return ServerConnection(_Readiness(self), self._limits, self._probes)

    def _accept_link(self) -> IncomingLink:
        return IncomingLink(
            handler=self.executor,
            book=self._book,
            greeting=self._greeting,
            open_links=self._links,
            heard=self._on_link_frame,
        )

    def _make_dialer(self, host: str) -> Dialer:
        return Dialer(
            host,
            self._settings.listen.nodes.port,
            greeting=self._greeting,
            listener=LinkListener(
                heard=self._on_dialer_frame,
                greeted=self._on_greeted,
            ),
        )

    def _on_link_frame(self, link: IncomingLink, frame: Frame) -> None:
        """Pass over frames of kinds that are not known here."""

    def _on_dialer_frame(self, host: str, frame: Frame) -> None:
        """Pass over frames of kinds that are not known here."""

    def _on_greeted(self, host: str, greeting: Greeting) -> None:
        _log.info('link made', extra={'peer': greeting.node})


class _Readiness:
    """Answers the platform's question whether this node is ready."""

    __slots__ = ('_sidecar',)

    def __init__(self, sidecar: Sidecar) -> None:
        """Answer for a sidecar."""
        self._sidecar = sidecar

    def started(self, request: Request, connection: ServerConnection) -> None:
        """Answer at once."""
        status = _READY if self._sidecar.is_ready else _NOT_READY
        connection.respond(status=status, fields=b'', body=b'')

    def abandoned(self, token: None) -> None:
        """Nothing is in progress."""
