"""Dividing what is short."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.pressure._shares import shares_by_importance


class TestSharesByImportance:
    """Who gets how much."""

    def test_serves_the_most_important_first(self) -> None:
        """Without a floor the rest is left to the others."""
        shares = shares_by_importance({0: 10, 2: 30}, 25, 0)
        assert shares == {0: 1, 2: pytest.approx(0.5)}

    def test_leaves_a_floor(self) -> None:
        """The least important gets its part of the floor."""
        shares = shares_by_importance({0: 100, 2: 100}, 50, 0.4)
        assert shares[2] == pytest.approx(0.4 * 50 / 200)

    @given(
        st.dictionaries(st.integers(0, 5), st.floats(0.1, 1000), min_size=1),
        st.floats(0, 1),
        st.floats(0, 0.9),
    )
    def test_gives_out_what_there_is(
        self,
        use_by_importance: dict[int, float],
        room_part: float,
        floor_part: float,
    ) -> None:
        """All of the room is used, no more, and the order is kept."""
        room = room_part * sum(use_by_importance.values())
        shares = shares_by_importance(use_by_importance, room, floor_part)
        used = sum(
            shares[importance] * use
            for importance, use in use_by_importance.items()
        )
        assert used == pytest.approx(room, rel=1e-6, abs=1e-6)
        in_order = [shares[each] for each in sorted(shares)]
        for more, less in zip(in_order, in_order[1:], strict=False):
            assert more >= less - 1e-9
