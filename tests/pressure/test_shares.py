"""Dividing scarce capacity."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.pressure._shares import shares_by_importance


class TestSharesByImportance:
    """The share of its demand that each importance is granted."""

    def test_serves_the_most_important_first(self) -> None:
        """Without a floor the less important get only the remainder."""
        shares = shares_by_importance({0: 10, 2: 30}, 25, 0)
        assert shares == {0: 1, 2: pytest.approx(0.5)}

    def test_grants_a_floor(self) -> None:
        """The least important gets its proportional part of the floor."""
        shares = shares_by_importance({0: 100, 2: 100}, 50, 0.4)
        assert shares[2] == pytest.approx(0.4 * 50 / 200)

    @given(
        st.dictionaries(st.integers(0, 5), st.floats(0.1, 1000), min_size=1),
        st.floats(0, 1),
        st.floats(0, 0.9),
    )
    def test_grants_the_whole_capacity(
        self,
        demand_by_importance: dict[int, float],
        capacity_fraction: float,
        floor_fraction: float,
    ) -> None:
        """Exactly the capacity is granted, in the order of importance."""
        capacity = capacity_fraction * sum(demand_by_importance.values())
        shares = shares_by_importance(
            demand_by_importance, capacity, floor_fraction
        )
        granted = sum(
            shares[importance] * demand
            for importance, demand in demand_by_importance.items()
        )
        assert granted == pytest.approx(capacity, rel=1e-6, abs=1e-6)
        in_order = [shares[each] for each in sorted(shares)]
        for more, less in zip(in_order, in_order[1:], strict=False):
            assert more >= less - 1e-9
