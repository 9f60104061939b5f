"""The sums of a coordinator over the nodes that report to it."""

from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    DemandReport,
    FrameKind,
    TargetLoadReport,
    encode_part,
)
from lovageshunt.pressure import (
    FleetPart,
    KindDemand,
    PartSums,
    TargetCapacity,
)
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._load_schedule import (
    ACCOUNT_INTERVAL_SECONDS,
    DEMAND_INTERVAL_SECONDS,
    interval_for,
)
from lovageshunt.sidecar._node_channels import NodeChannels


class CoordinatorSums:
    """Sums what nodes report to this one and sends the sums to all nodes.

    Sums are sent as often as nodes report, and faster while there is too
    little room or a client account asks for more than its limit.
    """

    __slots__ = (
        '_fleet',
        '_channels',
        '_node',
        '_accounts',
        '_sums',
        '_is_short',
        '_sent_at',
    )

    def __init__(
        self,
        *,
        fleet: Fleet,
        channels: NodeChannels,
        node: str,
        accounts: ClientAccounts,
    ) -> None:
        self._fleet = fleet
        self._channels = channels
        self._node = node
        self._accounts = accounts
        self._sums = PartSums()
        self._is_short = False
        self._sent_at = float('-inf')

    def add_load(self, report: TargetLoadReport) -> None:
        """Add the load of a target."""
        entry = self._fleet.entry_by_id.get(report.target_id)
        if entry is not None:
            capacity = capacity_of(report)
            self._is_short |= capacity.is_short
            self._sums.add_capacity(
                entry.service,
                entry.target_id,
                capacity,
                clock_now(),
            )

    def add_demand(self, report: DemandReport) -> None:
        """Add the demand at a node."""
        now = clock_now()
        self._sums.add_arrivals(
            report.node,
            report.service,
            report.arrived_by_kind,
            seconds=report.seconds,
            now=now,
        )
        self._sums.add_retries(report.node, report.retries_by_service, now)
        if report.has_accounts:
            self._sums.add_account_use(
                report.node,
                report.asked_by_account,
                report.admitted_by_account,
                now,
            )
        for kind, demand in demand_by_kind(report).items():
            self._sums.add_demand(kind, demand)

    def take_due(self, now: float) -> FleetPart | None:
        """Send the sums and return them, or ``None`` if they are not due."""
        if now - self._sent_at < self._interval():
            return None
        self._sent_at = now
        part = self._sums.total(self._node, now)
        self._is_short = part.is_short
        self._channels.send_to_subscribers(
            FrameKind.FLEET_PART, encode_part(part)
        )
        return part

    def _interval(self) -> float:
        """Return the seconds from one sending of the sums to the next."""
        interval = DEMAND_INTERVAL_SECONDS
        if self._accounts.is_used:
            interval = ACCOUNT_INTERVAL_SECONDS
        if self._is_short or self._accounts.over_limit:
            least = interval_for(self._channels.subscriber_count)
            interval = min(interval, least)
        return interval


def capacity_of(report: TargetLoadReport) -> TargetCapacity:
    """Return what the target of a report has room for."""
    return TargetCapacity(
        share=report.share,
        slots=report.load.limit,
        sent_per_second=report.sent_per_second,
        refused_per_second=report.refused_per_second,
    )


def demand_by_kind(report: DemandReport) -> dict[str, KindDemand]:
    """Return what a run of each kind costs at the node of a report.

    A node does not estimate the calls of a kind of which it has run few.
    """
    return {
        kind: KindDemand(
            node=report.node,
            service=report.service,
            seconds=seconds,
            calls_by_kind=report.calls_by_kind_by_kind.get(kind),
        )
        for kind, seconds in report.seconds_by_kind.items()
    }
