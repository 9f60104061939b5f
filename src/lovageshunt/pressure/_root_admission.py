"""Which requests of clients are let in, by what the services below bear.

It answers for a load beyond the capacity of a service deep in the graph. A
request that would be refused there, after work was spent on it at every hop
above, is refused at its first hop instead: the less important kinds first,
and all kinds of one importance alike.

It also answers for a service whose targets refuse calls that they have slots
for. There the retries are short, and are left to the more important kinds.
"""

from collections.abc import Mapping
from enum import StrEnum
from random import Random
from types import MappingProxyType
from typing import Final

from lovageshunt._record import Record
from lovageshunt.pressure._demand_model import DemandModel
from lovageshunt.pressure._fleet_capacity import FleetCapacity
from lovageshunt.pressure._internal_calls import InternalCallDetector
from lovageshunt.pressure._rates import FleetRates
from lovageshunt.pressure._refusals import RetryNeeds
from lovageshunt.pressure._shares import shares_by_importance

#: How often the shares are worked out anew, in seconds.
_PERIOD_SECONDS: Final = 0.1
#: A kind that needs less of a service than this share of what the kind needs
#: that needs most is not refused for it.
_SLIGHT_NEED: Final = 0.1
#: The least share of a kind that is let in, so that there are calls to learn
#: from.
_LEAST_SHARE: Final = 0.02
#: When to come back while shares are short, in seconds: they move by a
#: twelfth of themselves several times a second.
_RETRY_SECONDS: Final = 0.4


class Shortage(StrEnum):
    """What a service has too little of."""

    SLOTS = 'slots'
    RETRIES = 'retries'


#: A kind gets at least this part of what all kinds that need a service get of
#: it, so that none is shut out for long. It is small for retries: a request
#: takes many of them, so a part like that for slots would serve hardly more.
_FLOOR_PART_BY_SHORTAGE: Final = MappingProxyType(
    {Shortage.SLOTS: 0.35, Shortage.RETRIES: 0.1},
)


class RootDecision(Record):
    """``retry_seconds`` is when to come back, or nothing if it may go.

    ``service`` is the one that has no room, ``shortage`` of what, ``share``
    what is let in.
    """

    __slots__ = ('retry_seconds', 'service', 'shortage', 'share')

    def __init__(
        self,
        *,
        retry_seconds: float | None = None,
        service: str = '',
        shortage: Shortage | None = None,
        share: float = 1,
    ) -> None:
        """Take every field by name."""
        self.retry_seconds = retry_seconds
        self.service = service
        self.shortage = shortage
        self.share = share


class _Kind:
    """What is let in of one kind of requests, and why no more."""

    __slots__ = ('importance', 'share', 'service', 'shortage')

    def __init__(self, importance: int) -> None:
        """Begin with all let in."""
        self.importance = importance
        self.let_all_in()

    def let_all_in(self) -> None:
        """Forget what was short."""
        self.share = float(1)
        self.service = ''
        self.shortage: Shortage | None = None


class RootAdmission:
    """Decides at the first hop of each request."""

    __slots__ = (
        'fleet_capacity',
        '_needs',
        '_arrivals',
        '_retries',
        '_callers',
        '_rng',
        '_by_kind',
        '_updated_at',
    )

    def __init__(
        self,
        *,
        needs: DemandModel,
        arrivals: FleetRates,
        retries: FleetRates,
        callers: InternalCallDetector,
        rng: Random,
    ) -> None:
        """Begin with room everywhere.

        ``arrivals`` are the fleet's requests a second by kind, ``retries``
        what its nodes may send again a second by service.
        """
        #: What the targets tell of their room.
        self.fleet_capacity = FleetCapacity()
        self._needs = needs
        self._callers = callers
        self._arrivals = arrivals
        self._retries = retries
        self._rng = rng
        self._by_kind: dict[str, _Kind] = {}
        self._updated_at = float('-inf')

    def verdict(self, kind: str, importance: int, now: float) -> RootDecision:
        """Let a request in, or say when to come back."""
        known = self._by_kind.get(kind)
        if known is None:
            known = _Kind(importance)
            self._by_kind[kind] = known
        known.importance = importance
        if now - self._updated_at >= _PERIOD_SECONDS:
            self._update(now)
        if known.share >= 1 or self._rng.random() < known.share:
            return RootDecision(service=known.service, share=known.share)
        spread = self._rng.random() + 1 / 2
        return RootDecision(
            retry_seconds=_RETRY_SECONDS * spread,
            service=known.service,
            shortage=known.shortage,
            share=known.share,
        )

    def _update(self, now: float) -> None:
        """Work out what is let in of each kind."""
        self._updated_at = now
        for known in self._by_kind.values():
            known.let_all_in()
        rate_by_kind = self._arrivals.rate_by_key(now)
        retries_by_service = self._retries.rate_by_key(now)
        for service in self.fleet_capacity.services:
            slots = self.fleet_capacity.slots_of(service, now)
            if slots > 0:
                uses = self._uses_of(service, rate_by_kind)
                self._divide(service, Shortage.SLOTS, slots, uses)
            accepted = self.fleet_capacity.accepted_of(service, now)
            if accepted < 1:
                retries = retries_by_service.get(service, 0)
                uses = self._retries_of(service, accepted, rate_by_kind)
                self._divide(service, Shortage.RETRIES, retries, uses)

    def _divide(
        self,
        service: str,
        shortage: Shortage,
        room: float,
        use_by_kind: Mapping[str, float],
    ) -> None:
        """Lower the shares of kinds that use more than there is."""
        if sum(use_by_kind.values()) <= room:
            return
        shares = shares_by_importance(
            self._by_importance(use_by_kind),
            room,
            _FLOOR_PART_BY_SHORTAGE[shortage],
        )
        for kind in use_by_kind:
            known = self._by_kind[kind]
            share = max(_LEAST_SHARE, shares[known.importance])
            if share < known.share:
                known.share = share
                known.service = service
                known.shortage = shortage

    def _by_importance(
        self,
        use_by_kind: Mapping[str, float],
    ) -> dict[int, float]:
        """Add up the use of the kinds of each importance."""
        use_by_importance: dict[int, float] = {}
        for kind, use in use_by_kind.items():
            importance = self._by_kind[kind].importance
            before = use_by_importance.get(importance, 0)
            use_by_importance[importance] = before + use
        return use_by_importance

    def _uses_of(
        self,
        service: str,
        rate_by_kind: Mapping[str, float],
    ) -> dict[str, float]:
        """Return the slots that the fleet's requests of each kind would use.

        Kinds that need the service but slightly are left out, and so are
        those that targets send: they are in the needs of the kinds above.
        """
        need_by_kind = {
            kind: self._needs.work_of(kind).get(service, 0)
            for kind in self._root_kinds()
        }
        most = max(need_by_kind.values(), default=0)
        return {
            kind: need * rate_by_kind[kind]
            for kind, need in need_by_kind.items()
            if need > most * _SLIGHT_NEED and rate_by_kind.get(kind, 0) > 0
        }

    def _retries_of(
        self,
        service: str,
        accepted: float,
        rate_by_kind: Mapping[str, float],
    ) -> dict[str, float]:
        """Return the retries a second that the fleet's requests would need.

        Kinds that have a fair chance without any are left out: they are let
        in, with the retries or without.
        """
        retries_by_kind: dict[str, float] = {}
        for kind in self._root_kinds():
            calls = self._needs.runs_of(kind).get(service, 0)
            needs = RetryNeeds(calls=calls, accepted=accepted)
            rate = rate_by_kind.get(kind, 0)
            if needs.is_hopeless and rate > 0:
                retries_by_kind[kind] = needs.retries * rate
        return retries_by_kind

    def _root_kinds(self) -> list[str]:
        """Return the kinds that clients send."""
        return [
            kind
            for kind in self._by_kind
            if not self._callers.is_internal(kind)
        ]
