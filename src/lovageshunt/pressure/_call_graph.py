"""Learns which calls the runs of each kind make.

A target's calls name no parent, but a call can only come from a run in
progress. Each window shows which parts of runs were done in it and how many
calls of each kind were made. The calls a run that best explain these numbers
are found by non-negative least squares over sums that fade.
"""

from typing import Final

from lovageshunt._record import Record

#: The share of the sums that a window leaves: with the windows of a
#: ``CallSampler`` they count for about 15 s.
_FADE: Final = 0.9967
#: Added to the diagonal, so that kinds that never run alone are not torn
#: apart by chance, in runs squared.
_RIDGE: Final = 1.0
#: Sweeps of the descent; each solution starts from the last one.
_SWEEPS: Final = 25
#: Fewer calls a run than this are taken for chance.
_LEAST_CALLS: Final = 0.3
#: A kind of which less was run than this says nothing yet.
_LEAST_RUNS: Final = 4
#: Good runs are too few to go by below this part of the failed ones.
_FEW_GOOD: Final = 0.1
#: Stands before the kind of runs that failed.
FAILED_MARK: Final = '!'


class CallCounts(Record):
    """What one window showed at one target.

    ``runs_by_kind`` adds up the parts of runs of each kind that were done,
    ``calls_by_kind`` counts the calls of each kind that the target made. The
    kinds of runs that failed bear a mark.
    """

    __slots__ = ('runs_by_kind', 'calls_by_kind')

    def __init__(
        self,
        *,
        runs_by_kind: dict[str, float],
        calls_by_kind: dict[str, int],
    ) -> None:
        """Take both."""
        self.runs_by_kind = runs_by_kind
        self.calls_by_kind = calls_by_kind


class CallGraph:
    """Calls a run, by the kind that runs and the kind that is called."""

    __slots__ = (
        '_products',
        '_made',
        '_runs_by_kind',
        '_calls_by_kind_by_called',
    )

    def __init__(self) -> None:
        """Begin with nothing learned."""
        self._products: dict[tuple[str, str], float] = {}
        self._made: dict[tuple[str, str], float] = {}
        self._runs_by_kind: dict[str, float] = {}
        self._calls_by_kind_by_called: dict[str, dict[str, float]] = {}

    def learn(self, counts: CallCounts) -> None:
        """Take what a window showed."""
        for sums in (self._products, self._made):
            for pair in sums:
                sums[pair] *= _FADE
        for kind, runs in counts.runs_by_kind.items():
            known = self._runs_by_kind.get(kind, 0)
            self._runs_by_kind[kind] = known * _FADE + runs
            for other, others_runs in counts.runs_by_kind.items():
                _add(self._products, (kind, other), runs * others_runs)
            for called, calls in counts.calls_by_kind.items():
                _add(self._made, (kind, called), runs * calls)

    def calls_by_kind(self) -> dict[str, dict[str, float]]:
        """Return calls a run, by the kind that runs and the kind called.

        A run that failed made fewer calls than a good one, so failed runs
        count only while there are hardly any others: when a service below is
        full from the first moment, all fail.
        """
        kinds = [
            kind
            for kind, runs in self._runs_by_kind.items()
            if runs > _LEAST_RUNS
        ]
        calls: dict[str, dict[str, float]] = {kind: {} for kind in kinds}
        for called in sorted({pair[1] for pair in self._made}):
            for kind, count in self._solved(kinds, called).items():
                if count >= _LEAST_CALLS:
                    calls[kind][called] = count
        for kind in kinds:
            if kind.startswith(FAILED_MARK):
                self._join(kind, calls)
        return calls

    def _join(
        self,
        failed: str,
        calls_by_kind: dict[str, dict[str, float]],
    ) -> None:
        """Put the calls of failed runs in the place of those of good ones."""
        calls = calls_by_kind.pop(failed)
        kind = failed.removeprefix(FAILED_MARK)
        good_runs = self._runs_by_kind.get(kind, 0)
        if good_runs < self._runs_by_kind[failed] * _FEW_GOOD:
            calls_by_kind[kind] = calls

    def _solved(self, kinds: list[str], called: str) -> dict[str, float]:
        """Return calls a run of each kind, by coordinate descent."""
        known = self._calls_by_kind_by_called.get(called, {})
        calls = {kind: known.get(kind, 0) for kind in kinds}
        self._calls_by_kind_by_called[called] = calls
        for _ in range(_SWEEPS):
            for kind in kinds:
                calls[kind] = self._improved(kind, called, calls)
        return calls

    def _improved(
        self,
        kind: str,
        called: str,
        calls: dict[str, float],
    ) -> float:
        explained = sum(
            self._products.get((kind, other), 0) * count
            for other, count in calls.items()
            if other != kind
        )
        left = self._made.get((kind, called), 0) - explained
        square = self._products.get((kind, kind), 0) + _RIDGE
        return max(0, left / square)


def _add(
    sums: dict[tuple[str, str], float],
    pair: tuple[str, str],
    addend: float,
) -> None:
    sums[pair] = sums.get(pair, 0) + addend
