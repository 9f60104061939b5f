"""Refusing at the first hop what a downstream service has no capacity for.

The service ``bottom`` at the end of the call graph has a given fraction of the
capacity that the load demands. Without admission at the first hop, requests
fail there after the hops above have spent work on them.
"""

from collections import Counter
from random import Random

from lovageshunt.pressure import (
    DemandModel,
    FleetRates,
    InternalCallDetector,
    KindDemand,
    RootAdmission,
    RootRequest,
    Shortage,
    TargetCapacity,
)

IMPORTANCE = {'buy': 0, 'check': 2, 'view': 2}
RATES = {'buy': 40, 'check': 100, 'view': 60}


#: The slots that the load uses at ``bottom``: 4 and 8 calls of 10 ms each.
USED_SLOTS = 40 * 4 * 0.01 + 100 * 8 * 0.01


CHECK = RootRequest(kind='check', importance=2)


class Fleet:
    """The admission, and the reports that it gets of one target and node."""

    def __init__(self, capacity: float) -> None:
        self.slots = round(capacity * USED_SLOTS * 100)
        self.arrivals = FleetRates()
        self.retries = FleetRates()
        self.accepted = float(1)
        self.retries_per_second = float(0)
        self.internal_calls = InternalCallDetector()
        self.admission = RootAdmission(
            demand_model=demand_of_the_load(),
            arrivals=self.arrivals,
            retries=self.retries,
            internal_calls=self.internal_calls,
            rng=Random(3),
        )

    def report(self, now: float) -> None:
        # The slots and the load are scaled by 100 to get whole slots.
        capacity = TargetCapacity(
            share=1,
            slots=self.slots,
            sent_per_second=1000,
            refused_per_second=1000 * (1 - self.accepted),
        )
        self.admission.fleet_capacity.record_report(
            'bottom', 't1', capacity, now
        )
        counts = {kind: rate * 100 for kind, rate in RATES.items()}
        self.arrivals.learn('n', counts, 1, now)
        self.retries.learn('n', {'bottom': self.retries_per_second}, 1, now)


def demand_of_the_load() -> DemandModel:
    model = DemandModel()
    for kind, service, seconds, calls in (
        ('buy', 'top', 0.1, {'sync': 4.0}),
        ('check', 'top', 0.1, {'sync': 8.0}),
        ('view', 'other', 0.1, {}),
        ('sync', 'bottom', 0.01, {}),
    ):
        demand = KindDemand(
            node='n',
            service=service,
            seconds=seconds,
            calls_by_kind=calls,
        )
        model.learn(kind, demand)
    return model


def admitted_at(capacity: float, seconds: int = 20) -> Counter[str]:
    """Return the admitted shares by kind.

    ``capacity`` is that of ``bottom`` over what the load demands of it.
    """
    return admitted_by(Fleet(capacity), seconds)


def admitted_by(fleet: Fleet, seconds: int = 20) -> Counter[str]:
    """Offer the load to a fleet; return the admitted shares by kind."""
    admitted: Counter[str] = Counter()
    offered: Counter[str] = Counter()
    for tick in range(seconds * 10):
        fleet.report(tick / 10)
        for kind, rate in RATES.items():
            for _ in range(rate // 10):
                request = RootRequest(kind=kind, importance=IMPORTANCE[kind])
                decision = fleet.admission.decision(request, tick / 10)
                offered[kind] += 1
                admitted[kind] += decision.retry_seconds is None
    return Counter({kind: admitted[kind] / offered[kind] for kind in RATES})


class TestRootAdmission:
    """Which kinds are admitted, and how much of each."""

    def test_admits_all_without_overload(self) -> None:
        """With spare capacity everywhere nothing is refused."""
        assert set(admitted_at(1.2).values()) == {1}

    def test_keeps_the_order_of_importance(self) -> None:
        """Of the kinds that use ``bottom``, the less important is refused."""
        shares = admitted_at(0.5)
        assert shares['buy'] > 0.85
        assert shares['check'] < 0.5

    def test_starves_no_kind(self) -> None:
        """The least important kind keeps a third of its even share."""
        assert admitted_at(0.1)['check'] > 0.02

    def test_uses_the_whole_capacity(self) -> None:
        """The admitted requests use nearly all of the capacity."""
        shares = admitted_at(0.5, 60)
        calls = shares['buy'] * 40 * 4 + shares['check'] * 100 * 8
        assert 0.85 < calls * 0.01 / (0.5 * USED_SLOTS) < 1.02

    def test_counts_no_call_twice(self) -> None:
        """An internal kind counts only in the demand of those that call it."""
        fleet = Fleet(1.2)
        # Its requests arrive before the kind is known to be internal.
        fleet.admission.decision(RootRequest(kind='sync', importance=1), 0)
        fleet.arrivals.learn('m', {'sync': 96_000}, 1, 0)
        for _ in range(3):
            fleet.internal_calls.learn('top', 'n', {'check': 99, 'sync': 960})
            fleet.internal_calls.learn('bottom', 'm', {'check': 99})
        fleet.report(0)
        decisions = [fleet.admission.decision(CHECK, 1) for _ in range(50)]
        assert all(each.retry_seconds is None for each in decisions)

    def test_leaves_other_kinds_alone(self) -> None:
        """A kind that does not use ``bottom`` is not refused for it."""
        assert admitted_at(0.1)['view'] == 1

    def test_drops_expired_reports(self) -> None:
        """A target whose last report expired limits no kind."""
        fleet = Fleet(0.1)
        fleet.report(0)
        assert fleet.admission.fleet_capacity.slots_of('bottom', 1) > 0
        assert fleet.admission.fleet_capacity.slots_of('bottom', 10) == 0
        decisions = [fleet.admission.decision(CHECK, 10) for _ in range(50)]
        assert all(each.retry_seconds is None for each in decisions)

    def test_refusal_has_a_retry_time(self) -> None:
        """A refusal carries a jittered retry time of less than a second."""
        fleet = Fleet(0.02)
        fleet.report(0)
        decisions = [fleet.admission.decision(CHECK, 1) for _ in range(300)]
        waits = {
            each.retry_seconds
            for each in decisions
            if each.retry_seconds is not None
        }
        assert len(waits) > 100
        assert 0 < min(waits) < max(waits) < 1


class TestFrequentKind:
    """A kind of which many requests come, each with a small demand."""

    def test_is_refused_with_the_others(self) -> None:
        """It gives way if it takes most of a service that is full.

        Guards against RECOVER: screens that kept the bottom full were never
        refused, as another kind counted for ten times as much a request.
        """
        fleet = Fleet(0.5)
        model = demand_of_the_load()
        costly = KindDemand(
            node='n', service='bottom', seconds=1.5, calls_by_kind={}
        )
        model.learn('quote', costly)
        admission = RootAdmission(
            demand_model=model,
            arrivals=fleet.arrivals,
            retries=fleet.retries,
            internal_calls=fleet.internal_calls,
            rng=Random(3),
        )
        fleet.admission = admission
        fleet.report(0)
        fleet.arrivals.learn('n', {'check': 10_000, 'quote': 1}, 1, 0)
        admission.decision(RootRequest(kind='quote', importance=2), 0)
        decisions = [admission.decision(CHECK, 1) for _ in range(200)]
        assert any(each.retry_seconds is not None for each in decisions)


class TestRefusedCalls:
    """Targets of ``bottom`` with free slots refuse every other call.

    A ``buy`` needs 4 retries there and a ``check`` 8, so a hundred times the
    load needs 96,000 a second.
    """

    def test_reserves_the_retries_for_the_more_important(self) -> None:
        """When the retries suffice only for ``buy``, ``buy`` gets them."""
        shares = admitted_by(refusing(retries_per_second=16_000))
        assert shares['buy'] > 0.85
        assert shares['check'] < 0.1

    def test_admits_all_if_there_are_enough(self) -> None:
        """Nothing is refused while the retries suffice."""
        shares = admitted_by(refusing(retries_per_second=97_000))
        assert set(shares.values()) == {1}

    def test_admits_some_without_any(self) -> None:
        """Some are admitted, so that the end of the refusals is noticed."""
        shares = admitted_by(refusing(retries_per_second=0))
        assert 0 < shares['buy'] < 0.1

    def test_names_the_scarce_resource(self) -> None:
        """A shortage of retries is distinguished from one of slots."""
        for fleet, shortage in (
            (refusing(retries_per_second=0), Shortage.RETRIES),
            (Fleet(0.02), Shortage.SLOTS),
        ):
            fleet.report(0)
            decisions = [fleet.admission.decision(CHECK, 1) for _ in range(50)]
            found = {each.shortage for each in decisions if each.retry_seconds}
            assert found == {shortage}
            assert {each.service for each in decisions} == {'bottom'}

    def test_leaves_other_kinds_alone(self) -> None:
        """A kind that makes no calls there is not refused for it."""
        assert admitted_by(refusing(retries_per_second=0))['view'] == 1

    def test_serves_more_callers(self) -> None:
        """With a limited number of retries, admission by importance gets more
        value answered than admitting all: a ``buy`` is worth three ``check``.
        """
        limited = worth_served(admitted_by(refusing(retries_per_second=16_000)))
        unlimited = worth_served(Counter({'buy': 1, 'check': 1}))
        assert limited > 2 * unlimited


def refusing(retries_per_second: float) -> Fleet:
    """Return a fleet with ample slots where ``bottom`` refuses half."""
    fleet = Fleet(1.2)
    fleet.accepted = 1 / 2
    fleet.retries_per_second = retries_per_second
    return fleet


class RetryAllowance:
    """The retries that are left in one second."""

    def __init__(self, left: int) -> None:
        self.left = left

    def succeeds(self, rng: Random) -> bool:
        """Send one call until it is accepted or no retry is left."""
        while rng.random() < 1 / 2:
            if self.left == 0:
                return False
            self.left -= 1
        return True


def worth_served(shares: Counter[str], seconds: int = 20) -> float:
    """Simulate the calls of these shares, with 160 retries a second."""
    rng = Random(5)
    worth = 0
    for _ in range(seconds):
        allowance = RetryAllowance(160)
        buys = [('buy', 4)] * round(RATES['buy'] * shares['buy'])
        checks = [('check', 8)] * round(RATES['check'] * shares['check'])
        roots = buys + checks
        rng.shuffle(roots)
        for kind, calls in roots:
            if all(allowance.succeeds(rng) for _ in range(calls)):
                worth += 3 if kind == 'buy' else 1
    return worth
