"""Estimates which calls the runs of each kind make.

A target's calls name no parent, but a call can only come from a run in
progress. Each window holds the fractions of runs that fell into it and the
number of calls of each kind. The calls per run that fit these numbers best
are found by non-negative least squares over exponentially decaying sums.
"""

from collections.abc import Callable
from typing import Final

from lovageshunt._record import Record

#: The factor by which each window decays the sums: with the windows of a
#: ``CallSampler`` a sample counts for about 15 s.
_DECAY_PER_WINDOW: Final = 0.9967
#: Ridge term on the diagonal, in runs squared: without it, noise decides how
#: calls are split between kinds that never run alone.
_RIDGE: Final = 1.0
#: Sweeps of the coordinate descent, which starts at the last solution.
_DESCENT_SWEEPS: Final = 25
#: An estimate of fewer calls per run than this is taken for noise.
_MIN_CALLS_PER_RUN: Final = 0.3
#: A kind with no more runs than this (decayed sum) gets no estimate.
_MIN_RUNS: Final = 4
#: Below this ratio of good runs to failed ones, the failed ones are used.
_MIN_GOOD_RATIO: Final = 0.1
#: Put before the kind of failed runs, which are counted separately.
FAILED_PREFIX: Final = '!'


class CallCounts(Record):
    """Runs and calls of one target in one window.

    ``runs_by_kind`` sums the fractions of runs of each kind that fell into
    the window, ``calls_by_kind`` counts the requests of each kind from its VM:
    the calls that the target made, and the requests of clients. Kinds of failed
    runs start with ``FAILED_PREFIX``.
    """

    __slots__ = ('runs_by_kind', 'calls_by_kind')

    def __init__(
        self,
        *,
        runs_by_kind: dict[str, float],
        calls_by_kind: dict[str, int],
    ) -> None:
        self.runs_by_kind = runs_by_kind
        self.calls_by_kind = calls_by_kind


class CallGraph:
    """Estimates calls per run, by the running kind and the called kind."""

    __slots__ = (
        '_run_products',
        '_call_products',
        '_runs_by_kind',
        '_solution_by_called',
    )

    def __init__(self) -> None:
        self._run_products: dict[tuple[str, str], float] = {}
        self._call_products: dict[tuple[str, str], float] = {}
        self._runs_by_kind: dict[str, float] = {}
        self._solution_by_called: dict[str, dict[str, float]] = {}

    def learn(self, counts: CallCounts) -> None:
        """Add a window to the decaying sums."""
        for sums in (self._run_products, self._call_products):
            for pair in sums:
                sums[pair] *= _DECAY_PER_WINDOW
        for kind, runs in counts.runs_by_kind.items():
            known = self._runs_by_kind.get(kind, 0)
            self._runs_by_kind[kind] = known * _DECAY_PER_WINDOW + runs
            for other, other_runs in counts.runs_by_kind.items():
                _add(self._run_products, (kind, other), runs * other_runs)
            for called, calls in counts.calls_by_kind.items():
                _add(self._call_products, (kind, called), runs * calls)

    def calls_by_kind(
        self, is_internal: Callable[[str], bool]
    ) -> dict[str, dict[str, float]]:
        """Return calls per run, by the running kind and the called kind.

        Only kinds that ``is_internal`` names are calls. Which ones these are
        is found out when some have been counted.

        A failed run makes fewer calls than a good one, so failed runs are used
        only while there are hardly any others: all fail when a downstream
        service is overloaded from the start.
        """
        kinds = [
            kind
            for kind, runs in self._runs_by_kind.items()
            if runs > _MIN_RUNS
        ]
        calls: dict[str, dict[str, float]] = {kind: {} for kind in kinds}
        called_kinds = {pair[1] for pair in self._call_products}
        for called in sorted(filter(is_internal, called_kinds)):
            for kind, count in self._solve(kinds, called).items():
                if count >= _MIN_CALLS_PER_RUN:
                    calls[kind][called] = count
        for kind in kinds:
            if kind.startswith(FAILED_PREFIX):
                self._merge_failed(kind, calls)
        return calls

    def _merge_failed(
        self,
        failed: str,
        calls_by_kind: dict[str, dict[str, float]],
    ) -> None:
        """Replace the calls of good runs if there are too few of these."""
        calls = calls_by_kind.pop(failed)
        kind = failed.removeprefix(FAILED_PREFIX)
        good_runs = self._runs_by_kind.get(kind, 0)
        if good_runs < self._runs_by_kind[failed] * _MIN_GOOD_RATIO:
            calls_by_kind[kind] = calls

    def _solve(self, kinds: list[str], called: str) -> dict[str, float]:
        """Return calls per run of each kind, by coordinate descent."""
        known = self._solution_by_called.get(called, {})
        calls = {kind: known.get(kind, 0) for kind in kinds}
        self._solution_by_called[called] = calls
        for _ in range(_DESCENT_SWEEPS):
            for kind in kinds:
                calls[kind] = self._descend(kind, called, calls)
        return calls

    def _descend(
        self,
        kind: str,
        called: str,
        calls: dict[str, float],
    ) -> float:
        """Return the calls per run of one kind, the other kinds fixed."""
        explained = sum(
            self._run_products.get((kind, other), 0) * count
            for other, count in calls.items()
            if other != kind
        )
        residual = self._call_products.get((kind, called), 0) - explained
        squared_runs = self._run_products.get((kind, kind), 0) + _RIDGE
        return max(0, residual / squared_runs)


def _add(
    sums: dict[tuple[str, str], float],
    pair: tuple[str, str],
    addend: float,
) -> None:
    sums[pair] = sums.get(pair, 0) + addend
