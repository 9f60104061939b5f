"""Sums over a part of the fleet, which stand for the reports of its nodes.

A fleet in which every node reports to every other sends reports that grow with
the square of its size. Each node reports to one coordinator instead, and the
coordinators send all nodes the sums over those that report to them.
"""

from collections.abc import Iterable, Mapping
from heapq import nlargest
from typing import Final

from lovageshunt._record import Record
from lovageshunt.pressure._demand_model import DemandModel, KindDemand
from lovageshunt.pressure._fleet_capacity import FleetCapacity, TargetCapacity
from lovageshunt.pressure._rates import FleetRates

#: A node that did not report for this long is left out, in seconds: it reports
#: each 0.8 s, to another coordinator if this one is no longer its own.
_EXPIRY_SECONDS: Final = 2.0
#: How many client accounts are in one sum: those that ask most.
MAX_REPORTED_ACCOUNTS: Final = 256
#: The sums are rounded to this many digits after the point, as each is sent to
#: all nodes.
_DIGITS: Final = 3


class ServicePart(Record):
    """The nodes of one service in a part of the fleet.

    ``nodes`` of them reported ``rate_by_kind``, their requests a second.
    ``capacities`` are those of their targets, in few groups.
    """

    __slots__ = ('nodes', 'rate_by_kind', 'capacities')

    def __init__(
        self,
        *,
        nodes: int,
        rate_by_kind: dict[str, float],
        capacities: list[TargetCapacity],
    ) -> None:
        self.nodes = nodes
        self.rate_by_kind = rate_by_kind
        self.capacities = capacities


class FleetPart(Record):
    """The sums of one coordinator.

    ``retries_by_service`` is the number of retries a second that the nodes
    may send, ``demand_by_kind`` what a run costs; its nodes are empty.
    ``asked_by_account`` are the requests a second of client accounts,
    ``admitted_by_account`` those of them that were within a limit.
    """

    __slots__ = (
        'coordinator',
        'part_by_service',
        'retries_by_service',
        'demand_by_kind',
        'asked_by_account',
        'admitted_by_account',
    )

    def __init__(
        self,
        *,
        coordinator: str,
        part_by_service: dict[str, ServicePart],
        retries_by_service: dict[str, float],
        demand_by_kind: dict[str, KindDemand],
        asked_by_account: dict[str, float],
        admitted_by_account: dict[str, float],
    ) -> None:
        self.coordinator = coordinator
        self.part_by_service = part_by_service
        self.retries_by_service = retries_by_service
        self.demand_by_kind = demand_by_kind
        self.asked_by_account = asked_by_account
        self.admitted_by_account = admitted_by_account

    @property
    def nodes(self) -> int:
        """The number of nodes that reported."""
        return sum(part.nodes for part in self.part_by_service.values())

    @property
    def is_short(self) -> bool:
        """Whether the targets of some service lack capacity."""
        return any(
            capacity.is_short
            for part in self.part_by_service.values()
            for capacity in part.capacities
        )


class PartSums:
    """Sums the reports of the nodes that report to this one."""

    __slots__ = (
        '_arrivals_by_service',
        '_retries',
        '_asked_by_account',
        '_admitted_by_account',
        '_capacity',
        '_demand_model',
    )

    def __init__(self) -> None:
        self._arrivals_by_service: dict[str, FleetRates] = {}
        self._retries = FleetRates(_EXPIRY_SECONDS)
        self._asked_by_account = FleetRates(_EXPIRY_SECONDS)
        self._admitted_by_account = FleetRates(_EXPIRY_SECONDS)
        self._capacity = FleetCapacity()
        self._demand_model = DemandModel()

    def add_arrivals(
        self,
        node: str,
        service: str,
        count_by_kind: Mapping[str, float],
        *,
        seconds: float,
        now: float,
    ) -> None:
        """Add a node's requests by kind in the last ``seconds``."""
        rates = self._arrivals_by_service.get(service)
        if rates is None:
            rates = FleetRates(_EXPIRY_SECONDS)
            self._arrivals_by_service[service] = rates
        rates.learn(node, count_by_kind, seconds, now)

    def add_retries(
        self, node: str, per_second_by_service: Mapping[str, float], now: float
    ) -> None:
        """Set the retries a second that a node may send."""
        self._retries.replace(node, per_second_by_service, now)

    def add_account_use(
        self,
        node: str,
        asked_by_account: Mapping[str, float],
        admitted_by_account: Mapping[str, float],
        now: float,
    ) -> None:
        """Set what client accounts ask at a node, and what it admits."""
        self._asked_by_account.replace(node, asked_by_account, now)
        self._admitted_by_account.replace(node, admitted_by_account, now)

    def add_demand(self, kind: str, demand: KindDemand) -> None:
        """Add what a run of a kind costs at a node."""
        self._demand_model.learn(kind, demand)

    def add_capacity(
        self,
        service: str,
        target_id: str,
        capacity: TargetCapacity,
        now: float,
    ) -> None:
        """Set the capacity of a target beside a node."""
        self._capacity.record_report(service, target_id, capacity, now)

    def total(self, coordinator: str, now: float) -> FleetPart:
        """Return the sums as of now."""
        services = {*self._arrivals_by_service, *self._capacity.services}
        return FleetPart(
            coordinator=coordinator,
            part_by_service={
                service: self._part_of(service, now) for service in services
            },
            retries_by_service=_rounded(self._retries.rate_by_key(now)),
            demand_by_kind=self._demand_model.demand_by_kind(),
            asked_by_account=_largest(self._asked_by_account, now),
            admitted_by_account=_largest(self._admitted_by_account, now),
        )

    def _part_of(self, service: str, now: float) -> ServicePart:
        rates = self._arrivals_by_service.get(service)
        return ServicePart(
            nodes=rates.node_count(now) if rates else 0,
            rate_by_kind=_rounded(rates.rate_by_key(now)) if rates else {},
            capacities=self._capacity.groups_of(service, now),
        )


def _largest(rates: FleetRates, now: float) -> dict[str, float]:
    """Return the rates of the accounts that ask most, rounded."""
    rate_by_account = rates.rate_by_key(now)
    names: Iterable[str] = rate_by_account
    if len(rate_by_account) > MAX_REPORTED_ACCOUNTS:
        names = nlargest(
            MAX_REPORTED_ACCOUNTS,
            rate_by_account,
            key=rate_by_account.__getitem__,
        )
    return _rounded({name: rate_by_account[name] for name in names})


def _rounded(number_by_key: Mapping[str, float]) -> dict[str, float]:
    return {
        key: round(number, _DIGITS) for key, number in number_by_key.items()
    }
