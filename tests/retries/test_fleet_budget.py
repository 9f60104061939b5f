"""The fleet-wide retry budget."""

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
    """Count the times within the window that ends at ``end``."""
    return sum(end - 10 < each <= end for each in times)


def allowed(requests: list[float], end: float) -> float:
    """Return the retries that the window ending at ``end`` allows.

    They follow the requests in it, in the window before it, or in the window
    half a window before it, whichever has most.
    """
    highest = max(count(requests, end - ago) for ago in (0, 5, 10))
    return 0.2 * highest + 40


class TestFleetRetryBudget:
    """One node's part of the budget."""

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
        """Four nodes stay within the budget without coordination."""
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
            # Also check windows that end after the last retry.
            for later in range(11):
                end = retried_at + later
                assert count(retries, end) <= allowed(requests, end)

    def test_divides_the_reserve(self) -> None:
        """Without requests a node gets its part of the reserve."""
        budget = budget_of(10)
        spent = sum(budget.spend(0) for _ in range(40))
        assert spent == 2

    def test_counts_nested_retries(self) -> None:
        """Calls of a run that is a retry are retries at the called service."""
        budget = budget_of(1)
        for _ in range(28):
            assert budget.may_spend(0)
            budget.count_nested_retry(0)
        assert not budget.may_spend(0)

    def test_allows_retries_when_requests_become_few(self) -> None:
        """The requests of the last window allow retries in this one."""
        budget = budget_of(1)
        for at in range(1000):
            budget.requested(at / 100)
        spent = sum(budget.spend(10 + at / 100) for at in range(500))
        assert spent > 0.6 * 0.2 * 1000 * 0.7

    def test_keeps_pace(self) -> None:
        """No second spends much more than its part of the window's budget."""
        budget = budget_of(1)
        for at in range(1000):
            budget.requested(at / 100)
        spent = 0
        while budget.keeps_pace(9.99) and budget.spend(9.99):
            spent += 1
        assert spent <= 1.25 * 0.7 * (20 + 4)
        assert budget.may_spend(9.99, 50)

    def test_returns_the_retries_per_second(self) -> None:
        """A fifth of the requests, plus the reserve, less the margin."""
        budget = budget_of(1)
        for at in range(1000):
            budget.requested(at / 100)
        assert budget.per_second(9.99) == pytest.approx(0.7 * (20 + 4))

    def test_old_retries_leave_the_window(self) -> None:
        """A window later the reserve is available again."""
        budget = budget_of(10)
        while budget.spend(0):
            pass
        assert not budget.may_spend(5)
        assert budget.may_spend(11)


class TestFleetRetryBudgets:
    """One node's parts of the budgets, by service."""

    def test_keep_services_apart(self) -> None:
        """Retries spent at one service do not reduce those of another."""
        budgets = FleetRetryBudgets(SETTINGS)
        while budgets.of('a').spend(0):
            pass
        assert not budgets.of('a').may_spend(0)
        assert budgets.of('b').may_spend(0)

    def test_divide_every_reserve(self) -> None:
        """A larger fleet reduces this node's part of every reserve."""
        budgets = FleetRetryBudgets(SETTINGS)
        budgets.of('a')
        budgets.node_count = 10
        assert budgets.of('a').per_second(0) == pytest.approx(0.7 * 0.4)
        assert budgets.per_second_by_service(0) == {
            'a': pytest.approx(0.7 * 0.4),
        }
