"""Exchanges reports of load and demand with the other nodes."""

from collections.abc import Callable
from logging import getLogger
from random import Random
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    DemandReport,
    FrameKind,
    TargetLoadReport,
    encode_load,
    encode_message,
)
from lovageshunt.pressure import (
    CallGraph,
    DemandModel,
    FleetRates,
    InternalCallDetector,
    KindDemand,
    RootAdmission,
    TargetCapacity,
)
from lovageshunt.retries import FleetRetryBudgets
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._knowledge import FleetState

_log = getLogger(__name__)
#: The interval at which an unchanged load is reported, in seconds.
_LOAD_INTERVAL_SECONDS: Final = 1.0
#: Larger changes than these are reported at once: of slot use, of the share
#: of the demand that fits, and of the share of calls that the target accepts.
_USE_STEP: Final = 0.06
_SHARE_STEP: Final = 0.03
_ACCEPTED_STEP: Final = 0.1
#: The interval of the demand reports, in seconds.
_DEMAND_INTERVAL_SECONDS: Final = 0.8
#: The run costs are in the first this many demand reports, and in every one
#: of this many after that.
_RUN_COSTS_PERIOD: Final = 4

Broadcast = Callable[[FrameKind, bytes], None]


class PressureReports:
    """Broadcasts this node's load and demand and records the other nodes'.

    ``internal_calls`` distinguishes calls by targets from requests of clients.
    ``root_admission`` decides, from the reports, which requests are admitted
    at their first hop.
    """

    __slots__ = (
        'root_admission',
        'internal_calls',
        '_arrived_by_kind',
        '_reports_sent',
        '_arrivals',
        '_retries',
        '_budgets',
        '_executor',
        '_fleet',
        '_fleet_state',
        '_broadcast',
        '_graph',
        '_demand_model',
        '_reported_use',
        '_reported_share',
        '_reported_accepted',
        '_load_reported_at',
        '_demand_reported_at',
    )

    def __init__(
        self,
        *,
        executor: Executor,
        fleet: Fleet,
        fleet_state: FleetState,
        budgets: FleetRetryBudgets,
        broadcast: Broadcast,
        rng: Random,
    ) -> None:
        self._executor = executor
        self._fleet = fleet
        self._fleet_state = fleet_state
        self._broadcast = broadcast
        self._graph = CallGraph()
        self._demand_model = DemandModel()
        self._arrivals = FleetRates()
        self._retries = FleetRates()
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
        self._reported_use = float(0)
        self._reported_share = float(1)
        self._reported_accepted = float(1)
        self._load_reported_at = float('-inf')
        self._demand_reported_at = float('-inf')

    def handle_load(self, report: TargetLoadReport) -> None:
        """Record a target's load; ignore a target that is not listed."""
        entry = self._fleet.record_load(report)
        if entry is None:
            return
        self.root_admission.fleet_capacity.record_report(
            entry.service,
            entry.target_id,
            TargetCapacity(
                share=report.share,
                slots=report.load.limit,
                sent_per_second=report.sent_per_second,
                refused_per_second=report.refused_per_second,
            ),
            clock_now(),
        )

    def handle_demand(self, report: DemandReport) -> None:
        """Record a node's arrivals and retries, and what its runs cost."""
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
        for kind, seconds in report.seconds_by_kind.items():
            kind_demand = KindDemand(
                node=report.node,
                service=report.service,
                seconds=seconds,
                calls_by_kind=report.calls_by_kind_by_kind.get(kind, {}),
            )
            self._demand_model.learn(kind, kind_demand)

    def record_arrival(self, kind: str, now: float) -> bool:
        """Count a request from this VM; return whether its target sent it."""
        self._arrived_by_kind[kind] = self._arrived_by_kind.get(kind, 0) + 1
        is_internal = self.internal_calls.is_internal(kind)
        if is_internal:
            self._executor.meters.watch.called(kind, now)
        return is_internal

    def advance(self) -> None:
        """Close elapsed windows and broadcast the reports that are due."""
        now = clock_now()
        self._executor.advance(now)
        for counts in self._executor.meters.watch.take_windows(now):
            self._graph.learn(counts)
        self._report_load(now)
        if now - self._demand_reported_at >= _DEMAND_INTERVAL_SECONDS:
            self._report_demand(now)

    def _report_load(self, now: float) -> None:
        entry = self._fleet.own_entry
        if entry is None:
            return
        load = self._executor.queue.load()
        share = self._executor.meters.demand.share
        refusals = self._executor.meters.refusals
        accepted = refusals.accepted
        use = (load.running + load.waiting) / max(1, load.limit)
        has_changed = (
            abs(use - self._reported_use) > _USE_STEP
            or abs(share - self._reported_share) > _SHARE_STEP
            or abs(accepted - self._reported_accepted) > _ACCEPTED_STEP
        )
        if (
            not has_changed
            and now - self._load_reported_at < _LOAD_INTERVAL_SECONDS
        ):
            return
        self._reported_use = use
        self._reported_share = share
        self._reported_accepted = accepted
        self._load_reported_at = now
        report = TargetLoadReport(
            target_id=entry.target_id,
            load=load,
            share=share,
            sent_per_second=refusals.sent_per_second,
            refused_per_second=refusals.refused_per_second,
        )
        self.handle_load(report)
        self._broadcast(FrameKind.LOAD, encode_load(report))
        if share < 1 or accepted < 1 - _ACCEPTED_STEP:
            _log.info(
                'demand above capacity',
                extra={
                    'use': round(self._executor.meters.demand.use, 2),
                    'share': round(share, 2),
                    'accepted': round(accepted, 2),
                    'running': load.running,
                    'waiting': load.waiting,
                    'limit': load.limit,
                },
            )

    def _report_demand(self, now: float) -> None:
        seconds = now - self._demand_reported_at
        self._demand_reported_at = now
        if not self._arrived_by_kind:
            return
        self._reports_sent += 1
        seconds_by_kind: dict[str, float] = {}
        calls_by_kind_by_kind: dict[str, dict[str, float]] = {}
        is_early = self._reports_sent <= _RUN_COSTS_PERIOD
        if is_early or self._reports_sent % _RUN_COSTS_PERIOD == 0:
            seconds_by_kind = dict(self._executor.meters.demand.seconds_by_kind)
            calls_by_kind_by_kind = self._graph.calls_by_kind()
        own = self._fleet_state.greeting
        report = DemandReport(
            node=own.node,
            service=own.service,
            seconds=min(seconds, _DEMAND_INTERVAL_SECONDS * 2),
            arrived_by_kind=self._drain_arrivals(),
            seconds_by_kind=seconds_by_kind,
            calls_by_kind_by_kind=calls_by_kind_by_kind,
            retries_by_service=self._budgets.per_second_by_service(now),
            revision=own.revision,
            version=own.version,
        )
        self.handle_demand(report)
        _log.debug('reporting demand', extra={'needs': report.as_dict()})
        self._broadcast(FrameKind.DEMAND, encode_message(report))

    def _drain_arrivals(self) -> dict[str, int]:
        arrived_by_kind = self._arrived_by_kind
        self._arrived_by_kind = {}
        return arrived_by_kind
