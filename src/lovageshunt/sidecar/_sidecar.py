"""One sidecar: its listeners, its parts and its planned stop."""

import gc
from asyncio import (
    BaseProtocol,
    Event,
    Server,
    get_running_loop,
    sleep,
    timeout,
)
from collections.abc import Callable
from logging import getLogger
from random import Random
from secrets import token_hex
from time import monotonic
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import Request, ServerConnection, ServerLimits
from lovageshunt.links import FrameKind, Greeting, IncomingLink
from lovageshunt.retries import (
    FleetBudgetSettings,
    FleetRetryBudget,
    FleetRetryBudgets,
)
from lovageshunt.routes import Configuration
from lovageshunt.settings import Address, SidecarSettings
from lovageshunt.sidecar._answering import Answering
from lovageshunt.sidecar._dialect import HeaderNames
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._meters import Meters, MetricsPage
from lovageshunt.sidecar._node_links import LinkFrames, NodeLinks
from lovageshunt.sidecar._origin import Origin
from lovageshunt.sidecar._pressure_reports import PressureReports

_log = getLogger(__name__)
#: How often windows are closed and loads told, in seconds.
_TICK_SECONDS: Final = 0.1
#: How often connections are looked over, in seconds.
_SWEEP_SECONDS: Final = 0.5
#: A planned stop serves so long at least, in seconds, so that those who send
#: work here have seen that it is no longer ready.
_LINGER_SECONDS: Final = 2.5
#: From so long after the begin of a planned stop on, in seconds, no request is
#: taken that could outlast it. Its clients have seen by then that it is not
#: ready; they come all the same when most nodes around them stop too.
_LAST_TAKEN_SECONDS: Final = 3.0
#: What a planned stop leaves of its time for the last answers, in seconds.
_LAST_SECONDS: Final = 1.0
#: How often a planned stop looks whether it is over, in seconds.
_STOP_TICK_SECONDS: Final = 0.05
#: Connections that may wait to be accepted.
_BACKLOG: Final = 1024
#: Heads are allowed this many times their bound, as it is counted otherwise
#: by those who set it.
_HEAD_SLACK: Final = 2
#: The part of the fleet's retries that goes to requests which met a closing
#: connection to their target; origins use seven tenths.
_RESEND_PART: Final = 0.1
_READY: Final = 200
_NOT_READY: Final = 503


class Sidecar:
    """Carries the requests of one VM and the calls to its target."""

    def __init__(
        self,
        settings: SidecarSettings,
        dialect: HeaderNames,
        suppressed: Callable[[], int],
    ) -> None:
        """Build the parts; nothing is opened yet.

        ``suppressed`` counts the log records held back.
        """
        self._suppressed = suppressed
        self._settings = settings
        self._limits = ServerLimits()
        self._clients: set[ServerConnection] = set()
        self._probes: set[ServerConnection] = set()
        self._servers: list[Server] = []
        self._stop = Event()
        self._swept_at = float(0)
        rng = Random()
        greeting = Greeting(
            node=settings.node.name,
            service=settings.node.service,
            incarnation=token_hex(8),
        )
        self._meters = Meters(settings.node.name)
        own_host = settings.listen.nodes.host
        budget = FleetBudgetSettings(
            ratio=settings.bounds.retry_ratio,
            reserve=settings.bounds.retry_reserve,
            window_seconds=settings.bounds.retry_window_seconds,
        )
        target = settings.target
        self._resends = FleetRetryBudget(_part_of(budget, _RESEND_PART))
        self._retries = FleetRetryBudgets(budget)
        self._links = NodeLinks(
            port=settings.listen.nodes.port,
            greeting=greeting,
        )
        self._executor = Executor(
            host=target.address.host,
            port=target.address.port,
            slots=target.slots,
            dialect=dialect,
            meters=self._meters,
            resends=self._resends,
        )
        self._fleet = Fleet(
            own_host=own_host,
            own_port=target.address.port,
            own_failure_domain=settings.node.failure_domain,
            rng=rng,
            make_dialer=self._links.make_dialer,
        )
        #: What is known of the fleet, for those who read it elsewhere.
        self.fleet_state = FleetState(
            greeting,
            self._fleet,
            self._configure,
            self._note_target,
        )
        self._reports = PressureReports(
            executor=self._executor,
            fleet=self._fleet,
            fleet_state=self.fleet_state,
            budgets=self._retries,
            broadcast=self._links.broadcast,
            rng=rng,
        )
        self._links.frames = LinkFrames(
            fleet=self._fleet,
            fleet_state=self.fleet_state,
            reports=self._reports,
        )
        self._origin = Origin(
            own_host=own_host,
            own_service=settings.node.service,
            dialect=dialect,
            executor=self._executor,
            fleet=self._fleet,
            budgets=self._retries,
            reports=self._reports,
            answers=Answering(dialect.attempt_id, self._meters),
            rng=rng,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether requests can be served."""
        return self.fleet_state.is_complete and not self._stop.is_set()

    async def run(self) -> None:
        """Serve until a planned stop is over."""
        listen = self._settings.listen
        await self._listen(listen.clients, self._accept_client)
        await self._listen(listen.nodes, self._accept_link)
        await self._listen(listen.ready, self._accept_probe)
        if listen.metrics_port is not None:
            metrics = Address(host=listen.nodes.host, port=listen.metrics_port)
            await self._listen(metrics, self._accept_scrape)
        # What exists by now stays, so the collector need not look at it.
        gc.collect()
        gc.freeze()
        _log.info('started', extra={'node': self._settings.node.name})
        while not self._stop.is_set():
            await self._pause(_TICK_SECONDS)
            self._tick()
        await self._wind_down()

    def stop(self) -> None:
        """Begin a planned stop."""
        if self._stop.is_set():
            return
        _log.info('planned stop begins', extra=self._counts())
        self._stop.set()
        self._links.broadcast(FrameKind.LEAVING, b'')

    def close(self) -> None:
        """Stop listening and end every link, at once."""
        for server in self._servers:
            server.close()
        self._fleet.close()
        self._links.cut()

    def cut_links(self) -> None:
        """End the links from other nodes, which make them anew."""
        self._links.cut()

    async def _listen(
        self,
        address: Address,
        accept: Callable[[], BaseProtocol],
    ) -> None:
        server = await get_running_loop().create_server(
            accept,
            address.host,
            address.port,
            backlog=_BACKLOG,
        )
        self._servers.append(server)

    async def _pause(self, seconds: float) -> None:
        try:
            async with timeout(seconds):
                await self._stop.wait()
        except TimeoutError:
            return

    def _tick(self) -> None:
        self._reports.advance()
        now = monotonic()
        if now - self._swept_at < _SWEEP_SECONDS:
            return
        self._swept_at = now
        self._meters.note(
            load=self._executor.queue.load(),
            share=self._executor.demand.share,
            accepted=self._executor.refusals.accepted,
            version=self.fleet_state.greeting.version,
            is_platform_unreachable=self.fleet_state.is_platform_unreachable,
        )
        self._meters.set_suppressed(self._suppressed())
        for connection in list(self._clients):
            connection.close_if_due(now)
        self._executor.pool.close_stale()
        self._fleet.close_unused()

    async def _wind_down(self) -> None:
        """Finish what was read, refuse nothing that can still be served."""
        began = clock_now()
        most = self._settings.bounds.stop_seconds - _LAST_SECONDS
        self._origin.stop(
            takes_all_until=began + _LAST_TAKEN_SECONDS,
            stops_at=began + most,
        )
        while clock_now() - began < most:
            for connection in list(self._clients):
                connection.closes_next = True
            await self._pause_stopping()
            if clock_now() - began < _LINGER_SECONDS:
                continue
            self._executor.drain()
            self._close_idle()
            if self._origin.open_count == 0 and self._executor.is_empty:
                break
        _log.info('planned stop is over', extra=self._counts())
        self._close_idle()
        self.close()
        await self._pause_stopping()

    async def _pause_stopping(self) -> None:
        self._reports.advance()
        await sleep(_STOP_TICK_SECONDS)

    def _close_idle(self) -> None:
        for connection in list(self._clients):
            connection.close_idle()

    def _counts(self) -> dict[str, int]:
        return {
            'requests': self._origin.open_count,
            'connections': len(self._clients),
        }

    def _configure(self, configuration: Configuration) -> None:
        """Take what a configuration says of clients and of the target."""
        self._origin.take(configuration)
        limits = self._limits
        limits.head_bytes = configuration.head_bytes * _HEAD_SLACK
        limits.body_bytes = configuration.body_bytes
        limits.head_seconds = configuration.head_seconds
        limits.idle_seconds = configuration.idle_seconds
        own = configuration.limits_by_service.get(self._settings.node.service)
        if own is not None:
            self._executor.pool.most = own.connections

    def _note_target(self) -> None:
        """Take what the list says of the target beside this node."""
        self._resends.node_count = self._fleet.node_count
        self._retries.node_count = self._fleet.node_count
        own = self._fleet.own_entry
        if own is not None:
            self._executor.serve_target(own.target_id, own.slots)

    def _accept_client(self) -> ServerConnection:
        return ServerConnection(self._origin, self._limits, self._clients)

    def _accept_probe(self) -> ServerConnection:
        return ServerConnection(_Readiness(self), self._limits, self._probes)

    def _accept_scrape(self) -> ServerConnection:
        page = MetricsPage(self._meters)
        return ServerConnection(page, self._limits, self._probes)

    def _accept_link(self) -> IncomingLink:
        return self._links.accept(self._executor)


def _part_of(budget: FleetBudgetSettings, part: float) -> FleetBudgetSettings:
    return FleetBudgetSettings(
        ratio=budget.ratio * part,
        reserve=budget.reserve * part,
        window_seconds=budget.window_seconds,
    )


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
