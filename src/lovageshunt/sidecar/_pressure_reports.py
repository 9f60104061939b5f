"""What a node tells others of its target's load, and hears of theirs."""

from collections.abc import Callable
from logging import getLogger
from random import Random
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    FrameKind,
    LoadNews,
    NeedsNews,
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
from lovageshunt.sidecar._knowledge import Knowledge

_log = getLogger(__name__)
#: How often a load that has not changed is told all the same, in seconds.
_LOAD_SECONDS: Final = 1.0
#: The changes of use and of share that are told at once.
_USE_STEP: Final = 0.06
_SHARE_STEP: Final = 0.03
#: The same of the share of calls that the target accepts.
_ACCEPTED_STEP: Final = 0.1
#: How often nodes tell of the requests that reached them, in seconds.
_ARRIVALS_SECONDS: Final = 0.8
#: The first so many of these reports, and then every one of so many, also
#: tell what runs take.
_NEEDS_EVERY: Final = 4

Broadcast = Callable[[FrameKind, bytes], None]


class PressureReports:
    """Tells loads and needs to every node, and keeps what they tell."""

    __slots__ = (
        'gate',
        'internal_calls',
        '_arrived_by_kind',
        '_reports_told',
        '_arrivals',
        '_retries',
        '_budgets',
        '_executor',
        '_fleet',
        '_knowledge',
        '_broadcast',
        '_graph',
        '_needs',
        '_told_use',
        '_told_share',
        '_told_accepted',
        '_told_at',
        '_needs_told_at',
    )

    def __init__(
        self,
        *,
        executor: Executor,
        fleet: Fleet,
        knowledge: Knowledge,
        budgets: FleetRetryBudgets,
        broadcast: Broadcast,
        rng: Random,
    ) -> None:
        """Begin with nothing told."""
        self._executor = executor
        self._fleet = fleet
        self._knowledge = knowledge
        self._broadcast = broadcast
        self._graph = CallGraph()
        self._needs = DemandModel()
        self._arrivals = FleetRates()
        self._retries = FleetRates()
        self._budgets = budgets
        #: Tells the calls of targets from the requests of clients.
        self.internal_calls = InternalCallDetector()
        #: Decides at the first hop by what was told.
        self.gate = RootAdmission(
            demand_model=self._needs,
            arrivals=self._arrivals,
            retries=self._retries,
            internal_calls=self.internal_calls,
            rng=rng,
        )
        self._arrived_by_kind: dict[str, int] = {}
        self._reports_told = 0
        self._told_use = float(0)
        self._told_share = float(1)
        self._told_accepted = float(1)
        self._told_at = float('-inf')
        self._needs_told_at = float('-inf')

    def take_load(self, news: LoadNews) -> None:
        """Take a target's load."""
        entry = self._fleet.heard(news)
        if entry is None:
            return
        self.gate.fleet_capacity.heard(
            entry.service,
            entry.target_id,
            TargetCapacity(
                share=news.share,
                slots=news.load.limit,
                sent_per_second=news.sent_per_second,
                refused_per_second=news.refused_per_second,
            ),
            clock_now(),
        )

    def take_needs(self, news: NeedsNews) -> None:
        """Take what runs at a target need, and who sends which kinds."""
        self.internal_calls.learn(news.service, news.node, news.arrived_by_kind)
        now = clock_now()
        self._arrivals.learn(
            news.node,
            news.arrived_by_kind,
            news.seconds,
            now,
        )
        self._retries.learn(news.node, news.retries_by_service, 1, now)
        for kind, seconds in news.seconds_by_kind.items():
            told = KindDemand(
                node=news.node,
                service=news.service,
                seconds=seconds,
                calls_by_kind=news.calls_by_kind_by_kind.get(kind, {}),
            )
            self._needs.learn(kind, told)

    def arrived(self, kind: str, now: float) -> bool:
        """Count a request from this VM; tell whether a target sent it."""
        self._arrived_by_kind[kind] = self._arrived_by_kind.get(kind, 0) + 1
        is_internal = self.internal_calls.is_internal(kind)
        if is_internal:
            self._executor.watch.called(kind, now)
        return is_internal

    def advance(self) -> None:
        """Close the windows that are over, and tell nodes what changed."""
        now = clock_now()
        self._executor.advance(now)
        for counts in self._executor.watch.take_windows(now):
            self._graph.learn(counts)
        self._tell_load(now)
        if now - self._needs_told_at >= _ARRIVALS_SECONDS:
            self._tell_needs(now)

    def _tell_load(self, now: float) -> None:
        entry = self._fleet.own_entry
        if entry is None:
            return
        load = self._executor.queue.load()
        share = self._executor.demand.share
        refusals = self._executor.refusals
        accepted = refusals.accepted
        use = (load.running + load.waiting) / max(1, load.limit)
        has_changed = (
            abs(use - self._told_use) > _USE_STEP
            or abs(share - self._told_share) > _SHARE_STEP
            or abs(accepted - self._told_accepted) > _ACCEPTED_STEP
        )
        if not has_changed and now - self._told_at < _LOAD_SECONDS:
            return
        self._told_use = use
        self._told_share = share
        self._told_accepted = accepted
        self._told_at = now
        news = LoadNews(
            target_id=entry.target_id,
            load=load,
            share=share,
            sent_per_second=refusals.sent_per_second,
            refused_per_second=refusals.refused_per_second,
        )
        self.take_load(news)
        self._broadcast(FrameKind.LOAD, encode_load(news))
        if share < 1 or accepted < 1 - _ACCEPTED_STEP:
            _log.info(
                'demand above capacity',
                extra={
                    'use': round(self._executor.demand.use, 2),
                    'share': round(share, 2),
                    'accepted': round(accepted, 2),
                    'running': load.running,
                    'waiting': load.waiting,
                    'limit': load.limit,
                },
            )

    def _tell_needs(self, now: float) -> None:
        seconds = now - self._needs_told_at
        self._needs_told_at = now
        if not self._arrived_by_kind:
            return
        self._reports_told += 1
        seconds_by_kind: dict[str, float] = {}
        calls_by_kind_by_kind: dict[str, dict[str, float]] = {}
        is_early = self._reports_told <= _NEEDS_EVERY
        if is_early or self._reports_told % _NEEDS_EVERY == 0:
            seconds_by_kind = dict(self._executor.demand.seconds_by_kind)
            calls_by_kind_by_kind = self._graph.calls_by_kind()
        own = self._knowledge.greeting
        news = NeedsNews(
            node=own.node,
            service=own.service,
            seconds=min(seconds, _ARRIVALS_SECONDS * 2),
            arrived_by_kind=self._take_arrived(),
            seconds_by_kind=seconds_by_kind,
            calls_by_kind_by_kind=calls_by_kind_by_kind,
            retries_by_service=self._budgets.per_second_by_service(now),
            revision=own.revision,
            version=own.version,
        )
        self.take_needs(news)
        _log.debug('needs', extra={'needs': news.as_dict()})
        self._broadcast(FrameKind.NEEDS, encode_message(news))

    def _take_arrived(self) -> dict[str, int]:
        arrived_by_kind = self._arrived_by_kind
        self._arrived_by_kind = {}
        return arrived_by_kind
