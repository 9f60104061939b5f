"""One retry budget for a fleet."""

from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.retries import FleetBudgetSettings, FleetRetryBudget

SETTINGS = FleetBudgetSettings(ratio=0.2, reserve=40, window_seconds=10)


def budget_of(nodes: int) -> FleetRetryBudget:
    budget = FleetRetryBudget(SETTINGS)
    budget.node_count = nodes
    return budget


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
            spent = sum(now - 10 < each <= now for each in retries)
            # Requests count in the window or in the one before it.
            known = sum(now - 20 < each <= now for each in requests)
            assert spent <= 0.2 * known + 40

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
            budget.repeated_above(0)
        assert not budget.may_spend(0)

    def test_forgets_what_left_the_window(self) -> None:
        """A window later the reserve is there again."""
        budget = budget_of(10)
        while budget.spend(0):
            pass
        assert not budget.may_spend(5)
        assert budget.may_spend(11)
