"""Distribution of a route's requests over services."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.routes import Destination, Route, WeightedRoundRobin


def split(*weights: float) -> Route:
    return Route(
        name='r',
        host='h',
        prefix='/',
        destinations=tuple(
            Destination(service=f's{at}', weight=weight)
            for at, weight in enumerate(weights)
        ),
        is_repeatable=True,
        most_attempts=1,
        timeout_seconds=1,
        aim_seconds=1,
        importance=0,
    )


class TestWeightedRoundRobin:
    """Shares by weight."""

    @given(
        st.lists(st.integers(1, 100), min_size=1, max_size=4),
        st.integers(1, 300),
    )
    def test_keeps_shares_in_any_run(
        self,
        weights: list[int],
        count: int,
    ) -> None:
        """After any number of requests each share is nearly exact.

        It is off by at most one request for each destination.
        """
        splitter = WeightedRoundRobin()
        route = split(*weights)
        chosen = Counter(splitter.choose(route) for _ in range(count))
        for at, weight in enumerate(weights):
            due = count * weight / sum(weights)
            assert abs(chosen[f's{at}'] - due) <= len(weights)

    def test_follows_new_weights(self) -> None:
        """New weights apply from the first request on."""
        splitter = WeightedRoundRobin()
        for _ in range(100):
            splitter.choose(split(1, 99))
        chosen = Counter(splitter.choose(split(9, 1)) for _ in range(100))
        assert chosen['s0'] >= 88
