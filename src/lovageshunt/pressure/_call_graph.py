"""Learns which calls the runs of each kind make.

A target's calls name no parent, but a call can only come from a run in
progress. In each window the runs of every kind are in progress for some time,
and a number of calls of every kind is made. The rates by which these times
best explain these numbers are found by non-negative least squares over sums
that fade.
"""

from typing import Final

from lovageshunt._record import Record

#: The share of the sums that a window leaves: with the windows of a
#: ``CallWatch`` they count for about 15 s.
_FADE: Final = 0.9986
#: Added to the diagonal, so that kinds that never run alone are not torn
#: apart by chance, in run-seconds squared.
_RIDGE: Final = 0.02
#: Sweeps of the descent; each solution starts from the last one.
_SWEEPS: Final = 25
#: Fewer calls a run than this are taken for chance.
_LEAST_CALLS: Final = 0.3
#: A kind whose runs took less time than this says nothing yet, in seconds.
_LEAST_SECONDS: Final = 0.2


class CallCounts(Record):
    """What one window showed at one target.

    ``run_seconds_by_kind`` is the time that runs of each kind were in
    progress, ``calls_by_kind`` how many calls of each kind the target made.
    """

    __slots__ = ('run_seconds_by_kind', 'calls_by_kind')

    def __init__(
        self,
        *,
        run_seconds_by_kind: dict[str, float],
        calls_by_kind: dict[str, int],
    ) -> None:
        """Take both."""
        self.run_seconds_by_kind = run_seconds_by_kind
        self.calls_by_kind = calls_by_kind


class CallGraph:
    """Calls a run, by the kind that runs and the kind that is called."""

    __slots__ = (
        '_products',
        '_made',
        '_seconds_by_kind',
        '_rates_by_called',
    )

    def __init__(self) -> None:
        """Begin with nothing learned."""
        self._products: dict[tuple[str, str], float] = {}
        self._made: dict[tuple[str, str], float] = {}
        self._seconds_by_kind: dict[str, float] = {}
        self._rates_by_called: dict[str, dict[str, float]] = {}

    def learn(self, counts: CallCounts) -> None:
        """Take what a window showed."""
        for sums in (self._products, self._made):
            for pair in sums:
                sums[pair] *= _FADE
        for kind, seconds in counts.run_seconds_by_kind.items():
            known = self._seconds_by_kind.get(kind, 0)
            self._seconds_by_kind[kind] = known * _FADE + seconds
            for other, others_seconds in counts.run_seconds_by_kind.items():
                pair = (kind, other)
                product = seconds * others_seconds
                self._products[pair] = self._products.get(pair, 0) + product
            for called, calls in counts.calls_by_kind.items():
                pair = (kind, called)
                made = seconds * calls
                self._made[pair] = self._made.get(pair, 0) + made

    def calls_by_kind(
        self,
        mean_seconds_by_kind: dict[str, float],
    ) -> dict[str, dict[str, float]]:
        """Return calls a run by the kind that runs, then the kind called.

        ``mean_seconds_by_kind`` is how long a run of each kind takes.
        """
        kinds = [
            kind
            for kind, seconds in self._seconds_by_kind.items()
            if seconds > _LEAST_SECONDS
        ]
        calls: dict[str, dict[str, float]] = {kind: {} for kind in kinds}
        for called in {pair[1] for pair in self._made}:
            rates = self._rates(kinds, called)
            for kind, rate in rates.items():
                count = rate * mean_seconds_by_kind.get(kind, 0)
                if count >= _LEAST_CALLS:
                    calls[kind][called] = count
        return calls

    def _rates(self, kinds: list[str], called: str) -> dict[str, float]:
        """Return calls a run-second of each kind, by coordinate descent."""
        known = self._rates_by_called.get(called, {})
        rates = {kind: known.get(kind, 0) for kind in kinds}
        self._rates_by_called[called] = rates
        for _ in range(_SWEEPS):
            for kind in kinds:
                explained = sum(
                    self._products.get((kind, other), 0) * rates[other]
                    for other in kinds
                    if other != kind
                )
                left = self._made.get((kind, called), 0) - explained
                square = self._products.get((kind, kind), 0) + _RIDGE
                rates[kind] = max(0, left / square)
        return rates
