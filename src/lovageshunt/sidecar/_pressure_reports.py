"""Exchanges reports of load and demand with the other nodes."""

from logging import getLogger
from random import Random
from typing import Final

from lovageshunt.calls import LoadReport
from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    DemandReport,
    FrameKind,
    TargetLoadReport,
    encode_demand,
    encode_load,
)
from lovageshunt.pressure import (
    CallGraph,
    DemandModel,
    FleetPart,
    FleetRates,
    InternalCallDetector,
    RootAdmission,
    ServicePart,
)
from lovageshunt.retries import FleetRetryBudgets
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._coordinator_sums import (
    CoordinatorSums,
    capacity_of,
    demand_by_kind,
)
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._load_schedule import (
    ACCOUNT_INTERVAL_SECONDS,
    DEMAND_INTERVAL_SECONDS,
    LoadSchedule,
    ReportedLoad,
    interval_for,
)
from lovageshunt.sidecar._node_channels import NodeChannels

_log = getLogger(__name__)
#: The run costs are in the first this many demand reports, and in every one
#: of this many after that.
_RUN_COSTS_PERIOD: Final = 4
#: The shortest interval of the reports to the own coordinator, in seconds.
_COORDINATOR_INTERVAL_SECONDS: Final = 0.2


class PressureReports:
    """Reports this node's load and demand and records those of the fleet.

    The load goes to the nodes that send calls here, and with the demand to
    one coordinator. If this node is a coordinator, it sends the sums over the
    reports that it got to all nodes, ``own_sums``. ``internal_calls``
    distinguishes calls by targets from requests of clients.
    ``root_admission`` decides, from the sums, which requests are admitted at
    their first hop.
    """

    __slots__ = (
        'root_admission',
        'internal_calls',
        'own_sums',
        '_accounts',
        '_arrived_by_kind',
        '_reports_sent',
        '_arrivals',
        '_retries',
        '_budgets',
        '_executor',
        '_fleet',
        '_fleet_state',
        '_channels',
        '_unsummed_hosts',
        '_coordinators',
        '_graph',
        '_demand_model',
        '_to_callers',
        '_to_coordinator',
        '_demand_reported_at',
    )

    def __init__(
        self,
        *,
        executor: Executor,
        fleet: Fleet,
        fleet_state: FleetState,
        budgets: FleetRetryBudgets,
        channels: NodeChannels,
        accounts: ClientAccounts,
        rng: Random,
    ) -> None:
        self._accounts = accounts
        self._executor = executor
        self._fleet = fleet
        self._fleet_state = fleet_state
        self._channels = channels
        self._graph = CallGraph()
        self._demand_model = DemandModel()
        self._arrivals = FleetRates()
        self._retries = FleetRates()
        self.own_sums = CoordinatorSums(
            fleet=fleet,
            channels=channels,
            node=fleet_state.greeting.node,
            accounts=accounts,
        )
        self._unsummed_hosts: set[str] = set()
        self._coordinators: frozenset[str] = frozenset()
        self._budgets = budgets
        self.internal_calls = InternalCallDetector()
        self.root_admission = RootAdmission(
            demand_model=self._demand_model,
            arrivals=self._arrivals,
            retries=self._retries,
            internal_calls=self.internal_calls,
            rng=rng,
        )
        self._arrived_by_kind: dict[str, int] = {}
        self._reports_sent = 0
        self._to_callers = LoadSchedule()
        self._to_coordinator = LoadSchedule()
        self._demand_reported_at = float('-inf')

    def handle_load(self, host: str, report: TargetLoadReport) -> None:
        """Record the load of a target that calls are sent to.

        Nodes of an earlier build report to all nodes and are in no sum.
        """
        entry = self._fleet.record_load(report)
        if entry is not None and host in self._unsummed_hosts:
            self.root_admission.fleet_capacity.record_report(
                entry.service,
                entry.target_id,
                capacity_of(report),
                clock_now(),
            )

    def handle_demand(self, host: str, report: DemandReport) -> None:
        """Record the demand at a node of an earlier build."""
        self._unsummed_hosts.add(host)
        self.internal_calls.learn(
            report.service,
            report.node,
            report.arrived_by_kind,
        )
        now = clock_now()
        self._arrivals.learn(
            report.node,
            report.arrived_by_kind,
            report.seconds,
            now,
        )
        self._retries.learn(report.node, report.retries_by_service, 1, now)
        for kind, demand in demand_by_kind(report).items():
            self._demand_model.learn(kind, demand)

    def handle_part(self, host: str, part: FleetPart) -> None:
        """Record the sums of the coordinator on ``host``."""
        now = clock_now()
        rate_by_kind: dict[str, float] = {}
        for service, service_part in part.part_by_service.items():
            for kind, rate in service_part.rate_by_kind.items():
                rate_by_kind[kind] = rate_by_kind.get(kind, 0) + rate
            self._learn_arrivals(host, service, service_part)
            self.root_admission.fleet_capacity.record_part(
                service, host, service_part.capacities, now
            )
        self._arrivals.replace(host, rate_by_kind, now)
        self._retries.replace(host, part.retries_by_service, now)
        for kind, demand in part.demand_by_kind.items():
            demand.node = host
            self._demand_model.learn_part(kind, demand)
        is_own = host == self._channels.own_host
        self._accounts.handle_part(host, part, now, is_own=is_own)
        self.root_admission.demand_by_account = (
            self._accounts.demand_by_account(now)
        )

    def record_arrival(self, kind: str, now: float) -> bool:
        """Count a request from this VM; return whether its target sent it."""
        self._arrived_by_kind[kind] = self._arrived_by_kind.get(kind, 0) + 1
        self._executor.meters.watch.called(kind, now)
        return self.internal_calls.is_internal(kind)

    def advance(self) -> None:
        """Close elapsed windows and broadcast the reports that are due."""
        now = clock_now()
        self._drop_former_coordinators()
        self._executor.advance(now)
        for counts in self._executor.meters.watch.take_windows(now):
            self._graph.learn(counts)
        self._report_load(now)
        interval = DEMAND_INTERVAL_SECONDS
        if self._accounts.is_used:
            interval = ACCOUNT_INTERVAL_SECONDS
        if now - self._demand_reported_at >= interval:
            self._report_demand(now)
        if self._channels.is_coordinator:
            part = self.own_sums.take_due(now)
            if part is not None:
                self.handle_part(self._channels.own_host, part)

    def _learn_arrivals(
        self, host: str, service: str, part: ServicePart
    ) -> None:
        """Record the requests at a mean node of a service."""
        if part.nodes == 0:
            return
        factor = DEMAND_INTERVAL_SECONDS / part.nodes
        count_by_kind = {
            kind: rate * factor for kind, rate in part.rate_by_kind.items()
        }
        self.internal_calls.learn(service, host, count_by_kind)

    def _drop_former_coordinators(self) -> None:
        """Forget the sums that those of other coordinators will include."""
        elected = frozenset(self._channels.coordinators)
        for host in self._coordinators - elected:
            self._arrivals.forget(host)
            self._retries.forget(host)
            self._demand_model.forget(host)
            self._accounts.forget(host)
            self.internal_calls.forget(host)
            self.root_admission.fleet_capacity.forget(host)
        self._coordinators = elected

    def _report_load(self, now: float) -> None:
        """Report the load of the own target if that is due."""
        entry = self._fleet.own_entry
        if entry is None:
            return
        load = self._executor.queue.load()
        refusals = self._executor.meters.refusals
        reported = ReportedLoad(
            use=(load.running + load.waiting) / max(1, load.limit),
            share=self._executor.meters.demand.share,
            accepted=refusals.accepted,
        )
        is_due_to_callers = self._to_callers.take(
            reported, now, interval_for(self._channels.link_count)
        )
        is_due_to_coordinator = self._to_coordinator.take(
            reported, now, _COORDINATOR_INTERVAL_SECONDS
        )
        if not is_due_to_callers and not is_due_to_coordinator:
            return
        report = TargetLoadReport(
            target_id=entry.target_id,
            load=load,
            share=reported.share,
            sent_per_second=refusals.sent_per_second,
            refused_per_second=refusals.refused_per_second,
        )
        if is_due_to_callers:
            told = self._told(report)
            self._fleet.record_load(told)
            self._channels.send_to_callers(FrameKind.LOAD, encode_load(told))
        if is_due_to_coordinator:
            self._send_to_coordinator(report)
            if reported.is_short:
                self._log_shortage(load, reported)

    def _told(self, report: TargetLoadReport) -> TargetLoadReport:
        """Return what callers are told of the load of the own target."""
        return TargetLoadReport(
            target_id=report.target_id,
            load=self._executor.meters.told(report.load),
            share=report.share,
            sent_per_second=report.sent_per_second,
            refused_per_second=report.refused_per_second,
        )

    def _send_to_coordinator(self, report: TargetLoadReport) -> None:
        if self._channels.is_primary:
            self.own_sums.add_load(report)
        else:
            self._channels.send_to_primary(FrameKind.LOAD, encode_load(report))

    def _log_shortage(self, load: LoadReport, reported: ReportedLoad) -> None:
        _log.info(
            'demand above capacity',
            extra={
                'use': round(self._executor.meters.demand.use, 2),
                'share': round(reported.share, 2),
                'accepted': round(reported.accepted, 2),
                'running': load.running,
                'waiting': load.waiting,
                'limit': load.limit,
            },
        )

    def _report_demand(self, now: float) -> None:
        seconds = now - self._demand_reported_at
        self._demand_reported_at = now
        if not self._arrived_by_kind and not self._accounts.is_used:
            return
        self._reports_sent += 1
        seconds_by_kind: dict[str, float] = {}
        calls_by_kind_by_kind: dict[str, dict[str, float]] = {}
        is_early = self._reports_sent <= _RUN_COSTS_PERIOD
        if is_early or self._reports_sent % _RUN_COSTS_PERIOD == 0:
            seconds_by_kind = dict(self._executor.meters.demand.seconds_by_kind)
            calls_by_kind_by_kind = self._graph.calls_by_kind(
                self.internal_calls.is_internal
            )
        own = self._fleet_state.greeting
        seconds = min(seconds, DEMAND_INTERVAL_SECONDS * 2)
        asked, admitted = self._accounts.take_rates(seconds)
        report = DemandReport(
            node=own.node,
            service=own.service,
            seconds=seconds,
            arrived_by_kind=self._drain_arrivals(),
            seconds_by_kind=seconds_by_kind,
            calls_by_kind_by_kind=calls_by_kind_by_kind,
            retries_by_service=self._budgets.per_second_by_service(now),
            revision=own.revision,
            version=own.version,
            asked_by_account=asked,
            admitted_by_account=admitted,
            has_accounts=self._accounts.is_used,
        )
        _log.debug('reporting demand', extra={'needs': report.as_dict()})
        if self._channels.is_primary:
            self.own_sums.add_demand(report)
        else:
            encoded = encode_demand(report)
            self._channels.send_to_primary(FrameKind.DEMAND, encoded)

    def _drain_arrivals(self) -> dict[str, int]:
        arrived_by_kind = self._arrived_by_kind
        self._arrived_by_kind = {}
        return arrived_by_kind
