"""The retries of one request, counted at the targets, keep its bound."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bench.retry_shares import (
    FailureProbabilities,
    RequestSimulation,
    random_graph,
)
from lovageshunt.retries import AllowancePool

_SEEDS = st.integers(0, 2**32)
_CHANCE = st.floats(0, 0.6)
_MAX_DEPTH = 13


class _CopyingPool(AllowancePool):
    """Gives every call the whole share without deducting it."""

    def _take(self, count):
        return self._left

    def give_back(self, *, share, unspent):
        """Return nothing, as nothing was deducted."""


def _retries(seed, *, depth, odds, bound, resends, pool_factory=AllowancePool):
    random = Random(seed)
    graph = random_graph(random, depth, 2)
    chain = RequestSimulation(graph, odds, random, pool_factory)
    for attempt in range(1, resends + 2):
        chain.request(bound, attempt)
    return chain.retries


class TestBound:
    """The sum of all retries in the call tree of one root request."""

    @given(
        seed=_SEEDS,
        depth=st.integers(1, _MAX_DEPTH),
        odds=st.builds(
            FailureProbabilities, failed=_CHANCE, not_run=_CHANCE, lost=_CHANCE
        ),
        bound=st.integers(0, 12),
        resends=st.integers(0, 8),
    )
    def test_never_exceeded(self, seed, depth, odds, bound, resends):
        """No failure, lost answer or resend leads to more retries."""
        retries = _retries(
            seed,
            depth=depth,
            odds=odds,
            bound=bound,
            resends=resends,
        )

        assert retries <= bound

    def test_copied_allowance_exceeds_it(self):
        """If each call gets the whole allowance, the bound is exceeded."""
        retries = [
            _retries(
                seed,
                depth=_MAX_DEPTH,
                odds=FailureProbabilities(failed=0.3, not_run=0, lost=0),
                bound=3,
                resends=0,
                pool_factory=_CopyingPool,
            )
            for seed in range(10)
        ]

        assert max(retries) > 3
