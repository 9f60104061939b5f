"""One retry budget for a fleet."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.retries import (
    FleetBudgetSettings,
    FleetRetryBudget,
    FleetRetryBudgets,
)

SETTINGS = FleetBudgetSettings(ratio=0.2, reserve=40, window_seconds=10)


def budget_of(nodes: int) -> FleetRetryBudget:
    budget = FleetRetryBudget(SETTINGS)
    budget.node_count = nodes
    return budget


def count(times: list[float], end: float) -> int:
    """Count what lies in the window that ends at a time."""
    return sum(end - 10 < each <= end for each in times)


def allowed(requests: list[float], end: float) -> float:
    """Return the retries that a window may hold.

    Requests count in it, in the one before it, or in the one half a window
    before it, whichever has most.
    """
    most = max(count(requests, end - ago) for ago in (0, 5, 10))
    return 0.2 * most + 40


class TestFleetRetryBudget:
    """A node's part."""

    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.floats(0, 1.5), st.booleans()),
            max_size=300,
        ),
    )
    def test_holds_for_the_fleet_in_every_window(
        self,
        steps: list[tuple[int, float, bool]],
    ) -> None:
        """Four nodes that do not ask one another stay within the budget."""
        nodes = [budget_of(4) for _ in range(4)]
        now = 0.0
        requests: list[float] = []
        retries: list[float] = []
        for at, pause, is_retry in steps:
            now += pause
            if not is_retry:
                nodes[at].requested(now)
                requests.append(now)
            elif nodes[at].spend(now):
                retries.append(now)
        for retried_at in retries:
            # A window may end at any moment, also after the last retry.
            for later in range(11):
                end = retried_at + later
                assert count(retries, end) <= allowed(requests, end)

    def test_divides_the_reserve(self) -> None:
        """Without requests a node has its part of the reserve."""
        budget = budget_of(10)
        spent = sum(budget.spend(0) for _ in range(40))
        assert spent == 2

    def test_counts_the_calls_of_repeated_runs(self) -> None:
        """They are retries at the service that they call."""
        budget = budget_of(1)
        for _ in range(28):
            assert budget.may_spend(0)
            budget.count_nested_retry(0)
        assert not budget.may_spend(0)

    def test_goes_on_while_requests_become_few(self) -> None:
        """What the last window had requests for is spent in this one."""
        budget = budget_of(1)
        for at in range(1000):
            budget.requested(at / 100)
        spent = sum(budget.spend(10 + at / 100) for at in range(500))
        assert spent > 0.6 * 0.2 * 1000 * 0.7

    def test_keeps_pace(self) -> None:
        """No second spends much more than its part of the window's."""
        budget = budget_of(1)
        for at in range(1000):
            budget.requested(at / 100)
        spent = 0
        while budget.keeps_pace(9.99) and budget.spend(9.99):
            spent += 1
        assert spent <= 1.25 * 0.7 * (20 + 4)
        assert budget.may_spend(9.99, 50)

    def test_tells_the_retries_of_a_second(self) -> None:
        """A fifth of the requests and the reserve, less the margin."""
        budget = budget_of(1)
        for at in range(1000):
            budget.requested(at / 100)
        assert budget.per_second(9.99) == pytest.approx(0.7 * (20 + 4))

    def test_forgets_what_left_the_window(self) -> None:
        """A window later the reserve is there again."""
        budget = budget_of(10)
        while budget.spend(0):
            pass
        assert not budget.may_spend(5)
        assert budget.may_spend(11)


class TestFleetRetryBudgets:
    """A node's parts at every service."""

    def test_keep_services_apart(self) -> None:
        """What is spent at one service is left at the other."""
        budgets = FleetRetryBudgets(SETTINGS)
        while budgets.of('a').spend(0):
            pass
        assert not budgets.of('a').may_spend(0)
        assert budgets.of('b').may_spend(0)

    def test_divide_every_reserve(self) -> None:
        """A fleet that grows takes from each service's reserve here."""
        budgets = FleetRetryBudgets(SETTINGS)
        budgets.of('a')
        budgets.node_count = 10
        assert budgets.of('a').per_second(0) == pytest.approx(0.7 * 0.4)
        assert budgets.per_second_by_service(0) == {
            'a': pytest.approx(0.7 * 0.4),
        }
