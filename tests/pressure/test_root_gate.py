"""Refusing at the first hop what the last one has no room for.

The load is that of a screen with a lookup at the bottom that bears half of
what is asked of it.
"""

from collections import Counter
from random import Random

from lovageshunt.pressure import KindNeeds, NeedsBook, RootGate

IMPORTANCE = {'buy': 0, 'check': 2, 'view': 2}
RATES = {'buy': 40, 'check': 100, 'view': 60}


def gate_with(share: float) -> RootGate:
    needs = NeedsBook()
    needs.learn(
        'buy',
        KindNeeds(service='top', seconds=0.1, calls_by_kind={'sync': 4}),
    )
    needs.learn(
        'check',
        KindNeeds(service='top', seconds=0.1, calls_by_kind={'sync': 8}),
    )
    needs.learn(
        'view',
        KindNeeds(service='other', seconds=0.1, calls_by_kind={}),
    )
    needs.learn(
        'sync',
        KindNeeds(service='bottom', seconds=0.01, calls_by_kind={}),
    )
    gate = RootGate(needs, Random(3), 0)
    gate.heard('bottom', 't1', share=share, slots=10, now=0)
    return gate


def let_in(gate: RootGate, share: float, seconds: int = 20) -> Counter[str]:
    """Offer the load; return the share of each kind that is let in."""
    passed: Counter[str] = Counter()
    offered: Counter[str] = Counter()
    for tick in range(seconds * 10):
        now = tick / 10
        gate.heard('bottom', 't1', share=share, slots=10, now=now)
        for kind, rate in RATES.items():
            for _ in range(rate // 10):
                verdict = gate.verdict(kind, IMPORTANCE[kind], now)
                offered[kind] += 1
                passed[kind] += verdict.retry_seconds is None
    return Counter({kind: passed[kind] / offered[kind] for kind in RATES})


class TestRootGate:
    """Who is let in."""

    def test_lets_all_in_on_a_calm_day(self) -> None:
        """With room everywhere nothing is refused."""
        assert set(let_in(gate_with(1), 1).values()) == {1}

    def test_keeps_the_order_of_importance(self) -> None:
        """The less important kind that needs the bottom gives way."""
        shares = let_in(gate_with(0.5), 0.5)
        assert shares['buy'] > 0.97
        assert shares['check'] < 0.5

    def test_fills_the_bottom(self) -> None:
        """What is let in asks for what the bottom has room for."""
        shares = let_in(gate_with(0.5), 0.5, 60)
        asked = shares['buy'] * 40 * 4 + shares['check'] * 100 * 8
        assert 0.9 < asked / (0.5 * (40 * 4 + 100 * 8)) < 1.1

    def test_leaves_other_kinds_alone(self) -> None:
        """A kind that does not need the bottom is not refused for it."""
        assert let_in(gate_with(0.1), 0.1)['view'] == 1

    def test_forgets_a_share_that_is_not_renewed(self) -> None:
        """A target that tells nothing for long holds nobody back."""
        gate = gate_with(0.1)
        for tick in range(100):
            gate.verdict('check', 2, tick / 10)
        assert gate.share_of('bottom', 10) == 1

    def test_says_when_to_come_back(self) -> None:
        """A refusal tells a wait, spread, of less than a second."""
        gate = gate_with(0.02)
        waits = set()
        for tick in range(300):
            gate.heard('bottom', 't1', share=0.02, slots=10, now=tick / 100)
            verdict = gate.verdict('check', 2, tick / 100)
            if verdict.retry_seconds is not None:
                waits.add(verdict.retry_seconds)
        assert waits
        assert 0 < min(waits) < max(waits) < 1
