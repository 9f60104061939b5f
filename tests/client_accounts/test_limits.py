"""The limits of accounts over a fleet whose sums are late."""

from collections import deque
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageshunt.client_accounts import AccountLimits, AccountMeter, FleetUse
from lovageshunt.routes import ClientAccount

NAME = 'a'
STEP_SECONDS = 0.1
REPORT_STEPS = 8
#: What the users allow on top of a limit in a window.
WINDOW_SECONDS = 5
OVERAGE = 0.25
SLACK = 20


class Node:
    """One node with its own requests, and sums that are late."""

    def __init__(self, limit: ClientAccount, nodes: int, seed: int) -> None:
        self.limits = AccountLimits(Random(seed))
        self.limits.node_count = nodes
        self.limits.apply([limit], 0)
        self.meter = AccountMeter()
        self.rates: tuple[dict[str, float], dict[str, float]] = ({}, {})

    def ask(self, now: float) -> bool:
        """Send one request; return whether it was admitted."""
        self.meter.asked[NAME] += 1
        is_admitted = self.limits.refusal_seconds(NAME, now) is None
        self.meter.admitted[NAME] += is_admitted
        return is_admitted


class Fleet:
    """Nodes, one coordinator, and requests that go to some of the nodes.

    A node reports each 0.8 s and the sums go out as often, so that they are
    up to 1.6 s old. ``unheard`` nodes neither report nor get sums.
    """

    def __init__(
        self,
        *,
        nodes: int = 75,
        per_second: float = 100,
        unheard: int = 0,
        seed: int = 1,
    ) -> None:
        self.rng = Random(seed)
        self.per_second = per_second
        self.limit = ClientAccount(
            name=NAME, key_digests=(), per_second=per_second, burst=per_second
        )
        self.nodes = [Node(self.limit, nodes, seed + at) for at in range(nodes)]
        self.heard = self.nodes[unheard:]
        self.step = 0
        self.asked: deque[int] = deque(
            maxlen=int(WINDOW_SECONDS / STEP_SECONDS)
        )
        self.admitted: deque[int] = deque(maxlen=self.asked.maxlen)
        self.most_admitted = 0

    def run(self, seconds: float, rate: float, at: list[Node]) -> None:
        """Let nodes get requests at a rate for some time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            now = self.step * STEP_SECONDS
            expected = rate * STEP_SECONDS
            count = int(expected) + (
                self.rng.random() < expected - int(expected)
            )
            admitted = sum(self.rng.choice(at).ask(now) for _ in range(count))
            self.asked.append(count)
            self.admitted.append(admitted)
            self.most_admitted = max(self.most_admitted, sum(self.admitted))
            self.report(now)
            self.step += 1

    def report(self, now: float) -> None:
        for number, node in enumerate(self.heard):
            if (self.step + number) % REPORT_STEPS == 0:
                node.rates = node.meter.take_rates(REPORT_STEPS * STEP_SECONDS)
        if self.step % REPORT_STEPS:
            return
        sums: tuple[dict[str, float], dict[str, float]] = ({}, {})
        for node in self.heard:
            for total, rates in zip(sums, node.rates, strict=True):
                total[NAME] = total.get(NAME, 0) + rates.get(NAME, 0)
        use = FleetUse(
            asked_by_name=sums[0],
            admitted_by_name=sums[1],
            nodes=len(self.heard),
        )
        for node in self.heard:
            node.limits.record_use(use, now)

    @property
    def bound(self) -> float:
        allowed = self.per_second * WINDOW_SECONDS + self.per_second
        return allowed * (1 + OVERAGE) + SLACK

    @property
    def served(self) -> float:
        """The share of the last 5 s that was admitted."""
        return sum(self.admitted) / max(1, sum(self.asked))


class TestAccountLimits:
    """What all nodes together admit."""

    def test_serves_demand_below_the_limit_at_few_nodes(self) -> None:
        """At 0.9 of the limit, all of it at 3 of 75 nodes, 0.97 is served."""
        fleet = Fleet()
        fleet.run(2, 90, fleet.nodes[:3])
        fleet.run(WINDOW_SECONDS, 90, fleet.nodes[:3])
        assert fleet.served >= 0.97

    def test_serves_a_small_account_everywhere(self) -> None:
        """An account of 5 requests a second is below it at 75 nodes too."""
        fleet = Fleet(per_second=5)
        fleet.run(2, 4, fleet.nodes)
        fleet.run(60, 4, fleet.nodes)
        assert fleet.served >= 0.97

    def test_serves_demand_that_moves(self) -> None:
        """Callers that turn to other nodes are not refused for the limit."""
        fleet = Fleet()
        fleet.run(6, 90, fleet.nodes[:3])
        fleet.run(WINDOW_SECONDS, 90, fleet.nodes[-3:])
        assert fleet.served >= 0.97

    def test_holds_the_limit_and_uses_it(self) -> None:
        """At three times the limit, between 0.9 and 1.0 of it is admitted."""
        fleet = Fleet()
        fleet.run(20, 300, fleet.nodes)
        fleet.run(WINDOW_SECONDS, 300, fleet.nodes)
        part = sum(fleet.admitted) / (fleet.per_second * WINDOW_SECONDS)
        assert 0.9 <= part <= 1.05

    @settings(max_examples=30, derandomize=True, deadline=None)
    @given(
        per_second=st.sampled_from([5, 20, 100, 300]),
        usual=st.floats(min_value=0.1, max_value=1),
        step=st.floats(min_value=1, max_value=3.5),
        spread=st.sampled_from([1, 3, 75]),
        quiet_seconds=st.floats(min_value=0, max_value=12),
    )
    def test_never_exceeds_the_bound(
        self,
        per_second: int,
        usual: float,
        step: float,
        spread: int,
        quiet_seconds: float,
    ) -> None:
        """A step to 3.5 times the limit from a full bucket stays within it."""
        fleet = Fleet(per_second=per_second)
        nodes = fleet.nodes[:spread]
        fleet.run(quiet_seconds, per_second * usual, nodes)
        fleet.run(10, per_second * step, nodes)
        assert fleet.most_admitted <= fleet.bound

    def test_is_not_a_burst_for_each_node_that_starts(self) -> None:
        """75 nodes that start under three times the limit stay within it."""
        fleet = Fleet()
        fleet.run(10, 300, fleet.nodes)
        assert fleet.most_admitted <= fleet.bound

    def test_holds_for_a_part_that_is_cut_off(self) -> None:
        """Nodes that hear nothing have their own part of the limit only."""
        fleet = Fleet(unheard=37)
        fleet.run(20, 300, fleet.nodes)
        assert fleet.most_admitted <= fleet.bound

    def test_applies_a_limit_that_falls(self) -> None:
        """One window after a limit falls the new one holds."""
        fleet = Fleet()
        fleet.run(10, 90, fleet.nodes)
        lower = ClientAccount(
            name=NAME, key_digests=(), per_second=30, burst=30
        )
        for node in fleet.nodes:
            node.limits.apply([lower], fleet.step * STEP_SECONDS)
        fleet.run(WINDOW_SECONDS, 90, fleet.nodes)
        fleet.run(WINDOW_SECONDS, 90, fleet.nodes)
        assert sum(fleet.admitted) <= 30 * (WINDOW_SECONDS + 1) * 1.25 + SLACK

    def test_admits_an_account_without_a_limit(self) -> None:
        """Without a limit nothing is refused, nor is it counted."""
        limits = AccountLimits(Random(1))
        limits.apply([ClientAccount(name=NAME, key_digests=())], 0)
        assert all(limits.refusal_seconds(NAME, 0) is None for _ in range(999))

    def test_tells_when_to_come_back(self) -> None:
        """A refusal names a time above 0 that grows with what is owed."""
        fleet = Fleet(nodes=1)
        fleet.run(5, 400, fleet.nodes)
        limits = fleet.nodes[0].limits
        found = [limits.refusal_seconds(NAME, 5) for _ in range(50)]
        refusals = [each for each in found if each is not None]
        assert refusals
        assert min(refusals) > 0.1
