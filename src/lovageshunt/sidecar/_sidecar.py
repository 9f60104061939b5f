"""One sidecar: its listeners, its parts and its planned shutdown."""

import gc
from asyncio import Event, timeout
from collections.abc import Callable
from logging import getLogger
from random import Random
from secrets import token_hex
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.links import FrameKind, Greeting, IncomingLink
from lovageshunt.retries import (
    FleetBudgetSettings,
    FleetRetryBudget,
    FleetRetryBudgets,
)
from lovageshunt.routes import Configuration
from lovageshunt.settings import Address, SidecarSettings
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._coordinator_view import CoordinatorView
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._frame_handler import FrameHandler
from lovageshunt.sidecar._header_names import HeaderNames
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._leaving import LeavingTargets
from lovageshunt.sidecar._listeners import Listeners
from lovageshunt.sidecar._metrics import MetricsHandler, SidecarMetrics
from lovageshunt.sidecar._node_channels import NodeChannels
from lovageshunt.sidecar._node_links import NodeLinks
from lovageshunt.sidecar._origin import Origin
from lovageshunt.sidecar._outage import Outage
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._planned_stop import PlannedStop
from lovageshunt.sidecar._platform_news import PlatformNews
from lovageshunt.sidecar._pressure_reports import PressureReports
from lovageshunt.sidecar._readiness import ReadinessHandler
from lovageshunt.sidecar._responder import Responder
from lovageshunt.sidecar._supervision import run_each
from lovageshunt.sidecar._suspects import Suspects

_log = getLogger(__name__)
#: The interval at which windows are closed and reports sent, in seconds.
_TICK_SECONDS: Final = 0.1
#: The interval at which idle connections are closed and gauges set, in
#: seconds.
_SWEEP_SECONDS: Final = 0.5
#: The part of the fleet's retry budget for requests that are sent again
#: because the target closed their connection; origins use seven tenths.
_RESEND_PART: Final = 0.1


class Sidecar:
    """Proxies the requests of one VM and the calls to its target.

    ``suppressed`` returns how many log records were rate limited.
    ``fleet_state`` receives the configuration and the targets, ``news`` says
    whether this node reads them from the platform, ``accounts`` are the client
    accounts in force. Nothing is opened before ``run``.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        header_names: HeaderNames,
        suppressed: Callable[[], int],
    ) -> None:
        self._suppressed = suppressed
        self._settings = settings
        self._listeners = Listeners(settings.clients)
        self._stop = Event()
        self._swept_at = float(0)
        rng = Random()
        greeting = Greeting(
            node=settings.node.name,
            service=settings.node.service,
            incarnation=token_hex(8),
        )
        self._metrics = SidecarMetrics(settings.node.name)
        own_host = settings.listen.nodes.host
        budget = FleetBudgetSettings(
            ratio=settings.bounds.retry_ratio,
            reserve=settings.bounds.retry_reserve,
            window_seconds=settings.bounds.retry_window_seconds,
        )
        target = settings.target
        self._resend_budget = FleetRetryBudget(_scaled(budget, _RESEND_PART))
        self._retry_budgets = FleetRetryBudgets(budget)
        self._links = NodeLinks(
            port=settings.listen.nodes.port,
            greeting=greeting,
            account=self._listeners.account,
        )
        self._peers = Peers(own_host, self._links.make_dialer)
        self._fleet = Fleet(
            own_host=own_host,
            own_port=target.address.port,
            own_failure_domain=settings.node.failure_domain,
            rng=rng,
            peers=self._peers,
        )
        self._suspects = Suspects(
            broadcast=lambda *frame: self._channels.send_to_all(*frame),
            has_spare=self._fleet.has_spare,
        )
        self._executor = Executor(
            host=target.address.host,
            port=target.address.port,
            slots=target.slots,
            header_names=header_names,
            metrics=self._metrics,
            resend_budget=self._resend_budget,
            account=self._listeners.account,
            has_left=self._fleet.has_left,
            on_leaving=self._on_target_leaving,
            on_refused=self._on_target_refused,
            suspects=self._suspects,
        )
        self._outage = Outage(
            pool=self._executor.pool,
            fleet=self._fleet,
            broadcast=self._links.broadcast,
        )
        self.fleet_state = FleetState(
            greeting,
            self._fleet,
            self._on_configuration,
            self._on_targets,
        )
        self.news = PlatformNews(
            view=CoordinatorView(own_host, self._fleet, self._peers),
            peers=self._peers,
            fleet_state=self.fleet_state,
            rng=rng,
        )
        self._channels = NodeChannels(
            own_host=own_host,
            peers=self._peers,
            news=self.news,
            broadcast=self._links.broadcast,
            count_links=lambda: self._links.incoming_count,
        )
        self._leaving = LeavingTargets(
            fleet=self._fleet,
            executor=self._executor,
            broadcast=self._links.broadcast,
        )
        self.accounts = ClientAccounts(rng)
        self._reports = PressureReports(
            executor=self._executor,
            fleet=self._fleet,
            fleet_state=self.fleet_state,
            budgets=self._retry_budgets,
            channels=self._channels,
            accounts=self.accounts,
            rng=rng,
        )
        self._links.frame_handler = FrameHandler(
            fleet=self._fleet,
            peers=self._peers,
            fleet_state=self.fleet_state,
            reports=self._reports,
            leaving=self._leaving,
            suspects=self._suspects,
            news=self.news,
        )
        self._origin = Origin(
            own_host=own_host,
            own_service=settings.node.service,
            header_names=header_names,
            executor=self._executor,
            fleet=self._fleet,
            peers=self._peers,
            budgets=self._retry_budgets,
            reports=self._reports,
            responder=Responder(header_names.attempt_id, self._metrics),
            suspects=self._suspects,
            accounts=self.accounts,
            rng=rng,
        )

        self._planned_stop = PlannedStop(
            origin=self._origin,
            executor=self._executor,
            clients=self._listeners.clients,
            tick=self._tick_while_stopping,
            close=self.close,
        )

    @property
    def is_ready(self) -> bool:
        """Whether requests are served, as the readiness probe reports."""
        return self.fleet_state.is_complete and not self._stop.is_set()

    async def run(self) -> None:
        """Serve until a planned shutdown has finished."""
        listen = self._settings.listen
        listeners = self._listeners
        await listeners.open_to_clients(listen.clients, self._origin)
        await listeners.open(listen.nodes, self._accept_link)
        await listeners.open_to_operators(
            listen.ready, ReadinessHandler(lambda: self.is_ready)
        )
        if listen.metrics_port is not None:
            await listeners.open_to_operators(
                Address(host=listen.nodes.host, port=listen.metrics_port),
                MetricsHandler(self._metrics),
            )
        # Objects that exist now live as long as the process, so the garbage
        # collector can skip them.
        gc.collect()
        gc.freeze()
        _log.info('started', extra={'node': self._settings.node.name})
        while not self._stop.is_set():
            await self._pause(_TICK_SECONDS)
            self._tick()
        await self._planned_stop.run(self._settings.bounds.stop_seconds)

    def stop(self) -> None:
        """Begin a planned shutdown, unless one has begun."""
        if self._stop.is_set():
            return
        _log.info('planned shutdown started', extra=self._planned_stop.counts())
        self._stop.set()
        self._links.broadcast(FrameKind.LEAVING, b'')

    def close(self) -> None:
        """Stop listening and close every link immediately."""
        self._listeners.close()
        self._peers.close()
        self._links.close_incoming()

    def close_incoming_links(self) -> None:
        """Close the links from other nodes, which then reconnect."""
        self._links.close_incoming()

    async def _pause(self, seconds: float) -> None:
        try:
            async with timeout(seconds):
                await self._stop.wait()
        except TimeoutError:
            return

    def _tick(self) -> None:
        run_each(
            (
                self._peers.check_silence,
                self.news.advance,
                self._reports.advance,
                self._leaving.advance,
                self._outage.advance,
            ),
        )
        now = clock_now()
        if now - self._swept_at >= _SWEEP_SECONDS:
            self._swept_at = now
            run_each(
                (
                    self._set_gauges,
                    self._listeners.close_due,
                    self._executor.pool.close_stale,
                    lambda: self._peers.close_unused(self._fleet.hosts),
                ),
            )

    def _tick_while_stopping(self) -> None:
        run_each((self._peers.check_silence, self._reports.advance))

    def _set_gauges(self) -> None:
        executor = self._executor
        self._metrics.set_target(
            load=executor.queue.load(),
            share=executor.meters.demand.share,
            accepted=executor.meters.refusals.accepted,
            rate_limit=executor.rate_limit,
            suspects=self._suspects.count,
        )
        self._metrics.set_news(
            version=self.fleet_state.greeting.version,
            is_platform_unreachable=self.fleet_state.is_platform_unreachable,
            is_reader=self.news.view.is_reader,
            age_seconds=self.news.age_seconds,
        )
        self._metrics.set_links(
            opened=self._peers.open_count,
            accepted=self._links.incoming_count,
            again_by_state=self._links.again_by_state,
        )
        self._metrics.set_received(
            held_bytes=self._listeners.account.held_bytes,
            refused_by_cause=self._listeners.account.refused_by_cause,
        )
        self._metrics.set_accounts(over_limit=len(self.accounts.over_limit))
        self._metrics.set_suppressed(self._suppressed())

    def _on_configuration(self, configuration: Configuration) -> None:
        """Apply routes, accounts, connection limits and the target's limit."""
        self.accounts.apply(configuration, clock_now())
        self._origin.apply_configuration(configuration)
        self._listeners.apply_limits(configuration)
        own = configuration.limits_by_service.get(self._settings.node.service)
        if own is not None:
            self._executor.pool.max_connections = own.connections

    def _on_targets(self) -> None:
        """Apply the node count, departures and the own target's slots."""
        self._resend_budget.node_count = self._fleet.node_count
        self._retry_budgets.node_count = self._fleet.node_count
        self.accounts.limits.node_count = self._fleet.node_count
        self._leaving.apply_list()
        self.news.view.apply_list(clock_now())
        own = self._fleet.own_entry
        if own is not None:
            self._executor.apply_published_slots(own.target_id, own.slots)

    def _on_target_leaving(self, target_id: str) -> None:
        self._leaving.note_own(target_id)

    def _on_target_refused(self) -> None:
        self._outage.note_refused()

    def _accept_link(self) -> IncomingLink:
        return self._links.accept(self._executor)


def _scaled(budget: FleetBudgetSettings, part: float) -> FleetBudgetSettings:
    return FleetBudgetSettings(
        ratio=budget.ratio * part,
        reserve=budget.reserve * part,
        window_seconds=budget.window_seconds,
    )
