"""Admission of root requests by the capacity of the services downstream.

It protects against a load beyond the capacity of a service deep in the call
graph. A request that would be refused there, after work was spent on it at
every hop above, is refused at its first hop instead: the less important kinds
first, and all kinds of one importance alike. What fits of one importance is
divided among the client accounts that ask for it, if there are any.

It also covers a service whose targets refuse calls for which they have free
slots. There the retry budget is the scarce resource, and it is reserved for
the more important kinds.
"""

from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import Final

from lovageshunt.pressure._demand_model import DemandModel
from lovageshunt.pressure._fair_shares import fair_shares
from lovageshunt.pressure._fleet_capacity import FleetCapacity
from lovageshunt.pressure._internal_calls import InternalCallDetector
from lovageshunt.pressure._kind_shares import KindShares, Shortage
from lovageshunt.pressure._rates import FleetRates
from lovageshunt.pressure._refusals import RetryDemand
from lovageshunt.pressure._returns import Returns
from lovageshunt.pressure._root_messages import (
    AccountDemand,
    RootDecision,
    RootRequest,
)
from lovageshunt.pressure._shares import shares_by_importance

#: The interval between updates of the admitted shares, in seconds.
_UPDATE_SECONDS: Final = 0.1
#: A kind is not refused because of a service if one of its requests, and all
#: of them together, demand at most this fraction of what those of any other
#: kind do there.
_NEGLIGIBLE_FRACTION: Final = 0.1
#: The lowest share of a kind that is admitted, so that there are calls to
#: measure.
_MIN_SHARE: Final = 0.02
#: The shortest mean retry time of a refusal, in seconds: the shares change by a
#: twelfth several times a second.
_MIN_RETRY_SECONDS: Final = 0.4
#: How much longer a shortage is expected to last, as a part of how long it has
#: lasted.
_OUTLOOK: Final = 0.5
#: The longest mean retry time, as a part of the time within which an answer is
#: most useful.
_MAX_AIM_PART: Final = 0.5


#: The fraction of a scarce resource that is divided among all kinds that use
#: it, so that none is starved for long. It is small for retries: a request
#: takes many of them, so a fraction like that for slots would serve hardly
#: more requests.
_FLOOR_FRACTION_BY_SHORTAGE: Final = MappingProxyType(
    {Shortage.SLOTS: 0.35, Shortage.RETRIES: 0.1},
)


class RootAdmission:
    """Admits or refuses each request of a client at its first hop.

    ``fleet_capacity`` holds the reports of the targets; a service without any
    limits nothing. ``demand_by_account`` is what the client accounts ask.
    """

    __slots__ = (
        'fleet_capacity',
        'demand_by_account',
        '_demand_model',
        '_arrivals',
        '_retries',
        '_internal_calls',
        '_rng',
        '_by_kind',
        '_returns',
        '_account_shares',
        '_updated_at',
    )

    def __init__(
        self,
        *,
        demand_model: DemandModel,
        arrivals: FleetRates,
        retries: FleetRates,
        internal_calls: InternalCallDetector,
        rng: Random,
    ) -> None:
        """Set the sources of the decisions.

        ``demand_model`` gives the demand of one request by service,
        ``arrivals`` the fleet's requests a second by kind, ``retries`` the
        retries a second that its nodes may send by service. ``internal_calls``
        reports which kinds only targets send.
        """
        self.fleet_capacity = FleetCapacity()
        self._demand_model = demand_model
        self._internal_calls = internal_calls
        self._arrivals = arrivals
        self._retries = retries
        self._rng = rng
        self._by_kind: dict[str, KindShares] = {}
        self._returns = Returns()
        self.demand_by_account: Mapping[str, AccountDemand] = {}
        #: Shares by account, for an importance and the share of it that fits.
        self._account_shares: dict[tuple[int, float], dict[str, float]] = {}
        self._updated_at = float('-inf')

    def decision(self, request: RootRequest, now: float) -> RootDecision:
        """Admit a request, or refuse it with a time to retry after."""
        known = self._by_kind.get(request.kind)
        if known is None:
            known = KindShares()
            self._by_kind[request.kind] = known
        importance = request.importance
        known.record(importance)
        is_return = self._returns.take(request.content, now)
        known.returns.count(is_return=is_return)
        if now - self._updated_at >= _UPDATE_SECONDS:
            self._update(now)
        admitted = known.admitted(importance)
        share = self._share_of(request.account, importance, admitted.share)
        if share < 1:
            share = known.returns.share_of(share, is_return=is_return)
            share = max(_MIN_SHARE, share)
        if share >= 1 or self._rng.random() < share:
            return RootDecision(service=admitted.service, share=share)
        retry_seconds = self._retry_seconds(known, request.aim_seconds, now)
        self._returns.note_refused(request.content, now + retry_seconds)
        return RootDecision(
            retry_seconds=retry_seconds,
            service=admitted.service,
            shortage=admitted.shortage,
            share=share,
            is_return=is_return,
        )

    def _retry_seconds(
        self, known: KindShares, aim_seconds: float, now: float
    ) -> float:
        """Return when to come back: later, the longer there is a shortage."""
        lasted = 0 if known.short_since is None else now - known.short_since
        mean = min(_OUTLOOK * lasted, _MAX_AIM_PART * aim_seconds)
        return max(_MIN_RETRY_SECONDS, mean) * (self._rng.random() + 1 / 2)

    def _share_of(self, account: str, importance: int, share: float) -> float:
        """Return the share of an account's requests that is admitted.

        ``share`` is that of all requests of this importance. An account that
        the sums do not tell of gets that.
        """
        if share >= 1 or account not in self.demand_by_account:
            return share
        shares = self._account_shares.get((importance, share))
        if shares is None:
            demand_by_account = {
                name: demand.per_second
                for name, demand in self.demand_by_account.items()
                if demand.importance in {None, importance}
            }
            shares = fair_shares(
                demand_by_account,
                {
                    name: self.demand_by_account[name].weight
                    for name in demand_by_account
                },
                share * sum(demand_by_account.values()),
            )
            self._account_shares[(importance, share)] = shares
        return max(_MIN_SHARE, shares.get(account, share))

    def _update(self, now: float) -> None:
        """Recompute the admitted share of each kind."""
        self._updated_at = now
        self._account_shares = {}
        for known in self._by_kind.values():
            known.admit_all()
        rate_by_kind = self._arrivals.rate_by_key(now)
        retries_by_service = self._retries.rate_by_key(now)
        for service in self.fleet_capacity.services:
            slots = self.fleet_capacity.slots_of(service, now)
            if slots > 0:
                demand = self._slot_demand(service, rate_by_kind)
                self._limit_shares(service, Shortage.SLOTS, slots, demand)
            accepted = self.fleet_capacity.accepted_of(service, now)
            if accepted < 1:
                retries = retries_by_service.get(service, 0)
                demand = self._retry_demand(service, accepted, rate_by_kind)
                self._limit_shares(service, Shortage.RETRIES, retries, demand)
        for known in self._by_kind.values():
            known.note_shortage(now)

    def _limit_shares(
        self,
        service: str,
        shortage: Shortage,
        capacity: float,
        demand_by_kind: Mapping[str, float],
    ) -> None:
        """Lower the shares of kinds whose total demand exceeds a capacity."""
        if sum(demand_by_kind.values()) <= capacity:
            return
        shares = shares_by_importance(
            self._by_importance(demand_by_kind),
            capacity,
            _FLOOR_FRACTION_BY_SHORTAGE[shortage],
        )
        for kind in demand_by_kind:
            known = self._by_kind[kind]
            for importance in known.part_by_importance:
                share = max(_MIN_SHARE, shares[importance])
                known.admitted(importance).limit(share, service, shortage)

    def _by_importance(
        self,
        demand_by_kind: Mapping[str, float],
    ) -> dict[int, float]:
        """Sum the demand over the kinds of each importance."""
        demand_by_importance: dict[int, float] = {}
        for kind, demand in demand_by_kind.items():
            parts = self._by_kind[kind].part_by_importance
            for importance, part in parts.items():
                before = demand_by_importance.get(importance, 0)
                demand_by_importance[importance] = before + demand * part
        return demand_by_importance

    def _slot_demand(
        self,
        service: str,
        rate_by_kind: Mapping[str, float],
    ) -> dict[str, float]:
        """Return the slots that the fleet's requests of each kind would use.

        Kinds with a negligible demand on the service are left out, and so are
        internal kinds: the demand of the kinds that call them includes them.
        """
        work_by_kind = {
            kind: self._demand_model.work_of(kind).get(service, 0)
            for kind in self._root_kinds()
        }
        slots_by_kind = {
            kind: work * rate_by_kind.get(kind, 0)
            for kind, work in work_by_kind.items()
        }
        kinds = _above_negligible(work_by_kind)
        kinds |= _above_negligible(slots_by_kind)
        return {
            kind: slots_by_kind[kind] for kind in kinds if slots_by_kind[kind]
        }

    def _retry_demand(
        self,
        service: str,
        accepted: float,
        rate_by_kind: Mapping[str, float],
    ) -> dict[str, float]:
        """Return the retries a second that the fleet's requests would need.

        Kinds that have a fair chance without retries are left out: a shortage
        of retries does not limit them.
        """
        retries_by_kind: dict[str, float] = {}
        for kind in self._root_kinds():
            calls = self._demand_model.runs_of(kind).get(service, 0)
            demand = RetryDemand(calls=calls, accepted=accepted)
            rate = rate_by_kind.get(kind, 0)
            if demand.depends_on_retries and rate > 0:
                retries_by_kind[kind] = demand.retries * rate
        return retries_by_kind

    def _root_kinds(self) -> list[str]:
        """Return the kinds that clients send."""
        return [
            kind
            for kind in self._by_kind
            if not self._internal_calls.is_internal(kind)
        ]


def _above_negligible(demand_by_kind: Mapping[str, float]) -> set[str]:
    """Return the kinds whose demand is not far below the highest."""
    least = max(demand_by_kind.values(), default=0) * _NEGLIGIBLE_FRACTION
    return {kind for kind, demand in demand_by_kind.items() if demand > least}
