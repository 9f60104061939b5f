"""The memory by which a node knows an order again."""

from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.links import RecentOrders
from lovageshunt.links._recent_orders import AcceptedOrder
from tests.links.orders import order

SENDER = 'sender-1'
MEBIBYTE = 1024 * 1024


def accept(recent: RecentOrders, stream: int, *, deadline: float) -> None:
    recent.by_key[(SENDER, stream)] = AcceptedOrder(
        None, order(is_repeatable=False, deadline=deadline)
    )


class TestRecentOrders:
    """What is kept, what is forgotten, and what is still known of it."""

    @given(
        st.lists(
            st.tuples(
                st.floats(min_value=0, max_value=30),
                st.floats(min_value=0.1, max_value=60),
                st.integers(min_value=0, max_value=2 * MEBIBYTE),
            ),
            max_size=40,
        )
    )
    def test_knows_every_order_again(
        self, orders: list[tuple[float, float, int]]
    ) -> None:
        """An order that was answered is never taken for a new one."""
        recent = RecentOrders()
        now = float(0)
        for stream, (pause, seconds, size) in enumerate(orders, start=1):
            now += pause
            assert recent.answer_if_forgotten((SENDER, stream)) is None
            accept(recent, stream, deadline=now + seconds)
            recent.note_answered((SENDER, stream), bytes(size), now)
            for earlier in range(1, stream + 1):
                key = (SENDER, earlier)
                is_kept = key in recent.by_key
                is_forgotten = recent.answer_if_forgotten(key) is not None
                assert is_kept != is_forgotten

    def test_holds_a_bounded_number_of_bytes(self) -> None:
        """Beyond the bound, the answers that expire first are forgotten."""
        recent = RecentOrders()
        for stream in range(1, 20):
            accept(recent, stream, deadline=100 + stream)
            recent.note_answered((SENDER, stream), bytes(MEBIBYTE), 0)
        assert len(recent.by_key) == 8
        assert (SENDER, 19) in recent.by_key
