"""Refusing at the first hop what the last one has no room for.

The load is that of a screen with a lookup at the bottom that bears half of
what is asked of it.
"""

from collections import Counter
from random import Random

from lovageshunt.pressure import (
    DemandModel,
    FleetRates,
    InternalCallDetector,
    KindDemand,
    RootAdmission,
    Shortage,
    TargetCapacity,
)

IMPORTANCE = {'buy': 0, 'check': 2, 'view': 2}
RATES = {'buy': 40, 'check': 100, 'view': 60}


#: The slots that the load uses at the bottom: 4 and 8 calls of 10 ms each.
USED_SLOTS = 40 * 4 * 0.01 + 100 * 8 * 0.01


class Fleet:
    """A gate, and the news that it hears from one target and one node."""

    def __init__(self, room: float) -> None:
        self.slots = round(room * USED_SLOTS * 100)
        self.arrivals = FleetRates()
        self.retries = FleetRates()
        self.accepted = float(1)
        self.retries_per_second = float(0)
        self.callers = InternalCallDetector()
        self.gate = RootAdmission(
            needs=needs_of_the_load(),
            arrivals=self.arrivals,
            retries=self.retries,
            callers=self.callers,
            rng=Random(3),
        )

    def tell(self, now: float) -> None:
        # A hundred times the slots and the load, for whole numbers of slots.
        room = TargetCapacity(
            share=1,
            slots=self.slots,
            sent_per_second=1000,
            refused_per_second=1000 * (1 - self.accepted),
        )
        self.gate.fleet_capacity.heard('bottom', 't1', room, now)
        counts = {kind: rate * 100 for kind, rate in RATES.items()}
        self.arrivals.learn('n', counts, 1, now)
        self.retries.learn('n', {'bottom': self.retries_per_second}, 1, now)


def needs_of_the_load() -> DemandModel:
    needs = DemandModel()
    for kind, service, seconds, calls in (
        ('buy', 'top', 0.1, {'sync': 4.0}),
        ('check', 'top', 0.1, {'sync': 8.0}),
        ('view', 'other', 0.1, {}),
        ('sync', 'bottom', 0.01, {}),
    ):
        told = KindDemand(
            node='n',
            service=service,
            seconds=seconds,
            calls_by_kind=calls,
        )
        needs.learn(kind, told)
    return needs


def let_in(room: float, seconds: int = 20) -> Counter[str]:
    """Offer the load to a bottom with so much room; return what passes."""
    return offered_to(Fleet(room), seconds)


def offered_to(fleet: Fleet, seconds: int = 20) -> Counter[str]:
    """Offer the load to a fleet; return the parts of it that pass."""
    passed: Counter[str] = Counter()
    offered: Counter[str] = Counter()
    for tick in range(seconds * 10):
        fleet.tell(tick / 10)
        for kind, rate in RATES.items():
            for _ in range(rate // 10):
                verdict = fleet.gate.verdict(kind, IMPORTANCE[kind], tick / 10)
                offered[kind] += 1
                passed[kind] += verdict.retry_seconds is None
    return Counter({kind: passed[kind] / offered[kind] for kind in RATES})


class TestRootGate:
    """Who is let in."""

    def test_lets_all_in_on_a_calm_day(self) -> None:
        """With room everywhere nothing is refused."""
        assert set(let_in(1.2).values()) == {1}

    def test_keeps_the_order_of_importance(self) -> None:
        """The less important kind that needs the bottom gives way."""
        shares = let_in(0.5)
        assert shares['buy'] > 0.85
        assert shares['check'] < 0.5

    def test_shuts_no_kind_out(self) -> None:
        """The least important keeps a third of its part."""
        assert let_in(0.1)['check'] > 0.02

    def test_fills_the_bottom(self) -> None:
        """What is let in asks for nearly all that the bottom has."""
        shares = let_in(0.5, 60)
        asked = shares['buy'] * 40 * 4 + shares['check'] * 100 * 8
        assert 0.85 < asked * 0.01 / (0.5 * USED_SLOTS) < 1.02

    def test_counts_no_call_twice(self) -> None:
        """A kind that targets send is in the need of those above it."""
        fleet = Fleet(1.2)
        # Before it is known to be inner, the gate has seen its requests.
        fleet.gate.verdict('sync', 1, 0)
        fleet.arrivals.learn('m', {'sync': 96_000}, 1, 0)
        for _ in range(3):
            fleet.callers.learn('top', 'n', {'check': 99, 'sync': 960})
            fleet.callers.learn('bottom', 'm', {'check': 99})
        fleet.tell(0)
        verdicts = [fleet.gate.verdict('check', 2, 1) for _ in range(50)]
        assert all(each.retry_seconds is None for each in verdicts)

    def test_leaves_other_kinds_alone(self) -> None:
        """A kind that does not need the bottom is not refused for it."""
        assert let_in(0.1)['view'] == 1

    def test_forgets_a_target_that_tells_nothing(self) -> None:
        """A target that tells nothing for long holds nobody back."""
        fleet = Fleet(0.1)
        fleet.tell(0)
        assert fleet.gate.fleet_capacity.slots_of('bottom', 1) > 0
        assert fleet.gate.fleet_capacity.slots_of('bottom', 10) == 0
        verdicts = [fleet.gate.verdict('check', 2, 10) for _ in range(50)]
        assert all(each.retry_seconds is None for each in verdicts)

    def test_says_when_to_come_back(self) -> None:
        """A refusal tells a wait, spread, of less than a second."""
        fleet = Fleet(0.02)
        fleet.tell(0)
        verdicts = [fleet.gate.verdict('check', 2, 1) for _ in range(300)]
        waits = {
            each.retry_seconds
            for each in verdicts
            if each.retry_seconds is not None
        }
        assert len(waits) > 100
        assert 0 < min(waits) < max(waits) < 1


class TestRefusedCalls:
    """A bottom with room whose targets refuse every other call.

    A purchase needs 4 retries there and a lookup 8, so a hundred times the
    load needs 96,000 a second.
    """

    def test_leaves_the_retries_to_the_more_important(self) -> None:
        """Retries for the purchases only are left to them."""
        shares = offered_to(refusing(retries_per_second=16_000))
        assert shares['buy'] > 0.85
        assert shares['check'] < 0.1

    def test_lets_all_in_if_there_are_enough(self) -> None:
        """Nobody is refused while the retries suffice."""
        shares = offered_to(refusing(retries_per_second=97_000))
        assert set(shares.values()) == {1}

    def test_lets_some_in_without_any(self) -> None:
        """Some go on, so that the end of the refusals is seen."""
        shares = offered_to(refusing(retries_per_second=0))
        assert 0 < shares['buy'] < 0.1

    def test_says_what_is_short(self) -> None:
        """Operators can tell a lack of retries from one of slots."""
        for fleet, shortage in (
            (refusing(retries_per_second=0), Shortage.RETRIES),
            (Fleet(0.02), Shortage.SLOTS),
        ):
            fleet.tell(0)
            verdicts = [fleet.gate.verdict('check', 2, 1) for _ in range(50)]
            found = {each.shortage for each in verdicts if each.retry_seconds}
            assert found == {shortage}
            assert {each.service for each in verdicts} == {'bottom'}

    def test_leaves_other_kinds_alone(self) -> None:
        """A kind that calls nothing there is not refused for it."""
        assert offered_to(refusing(retries_per_second=0))['view'] == 1

    def test_serves_more_callers(self) -> None:
        """With calls sent again while there are retries, more of what the
        callers hold dear gets its answer than with all let in: a purchase is
        worth three lookups.
        """
        gated = worth_served(offered_to(refusing(retries_per_second=16_000)))
        open_door = worth_served(Counter({'buy': 1, 'check': 1}))
        assert gated > 2 * open_door


def refusing(retries_per_second: float) -> Fleet:
    """Return a fleet with ample slots whose bottom refuses half."""
    fleet = Fleet(1.2)
    fleet.accepted = 1 / 2
    fleet.retries_per_second = retries_per_second
    return fleet


class Spare:
    """The retries that are left in a second."""

    def __init__(self, left: int) -> None:
        self.left = left

    def gets_through(self, rng: Random) -> bool:
        """Send one call until it is accepted or no retry is left."""
        while rng.random() < 1 / 2:
            if self.left == 0:
                return False
            self.left -= 1
        return True


def worth_served(shares: Counter[str], seconds: int = 20) -> float:
    """Play the calls that these shares make, with 160 retries a second."""
    rng = Random(5)
    worth = 0
    for _ in range(seconds):
        spare = Spare(160)
        buys = [('buy', 4)] * round(RATES['buy'] * shares['buy'])
        checks = [('check', 8)] * round(RATES['check'] * shares['check'])
        roots = buys + checks
        rng.shuffle(roots)
        for kind, calls in roots:
            if all(spare.gets_through(rng) for _ in range(calls)):
                worth += 3 if kind == 'buy' else 1
    return worth
