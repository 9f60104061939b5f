"""Metrics, counted in plain numbers and exported when they are scraped.

A collector of the library serialises its labels at each increment, so the
cells here hold the numbers and the collectors are filled at the scrape.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from itertools import accumulate
from types import MappingProxyType
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as BucketCounts
from aioprometheus.renderer import render

from lovageshunt.account import AccountLine, AccountSnapshot, causes_of
from lovageshunt.calls import Outcome
from lovageshunt.observability._specs import (
    COUNTER,
    HISTOGRAM,
    METRIC_SPECS,
    MetricSpec,
)

#: Upper bounds of the buckets of every histogram, in seconds.
BUCKETS_SECONDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
_OUTCOME_BY_END: Final = MappingProxyType(
    {
        'refused': Outcome.NOT_RUN,
        'failed': Outcome.FAILED,
        'unknown': Outcome.UNKNOWN,
    },
)
_ESCAPES: Final = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})

_Labels = tuple[str, ...]


class Cell:
    """One number of one metric; add to ``value`` or set it."""

    __slots__ = ('value',)

    def __init__(self) -> None:
        """Start at 0."""
        self.value: float = 0


class Buckets:
    """The observations of one histogram, counted by bucket."""

    __slots__ = ('_count_by_bucket', '_total')

    def __init__(self) -> None:
        """Start with no observations."""
        self._count_by_bucket = [0, *(0 for _ in BUCKETS_SECONDS)]
        self._total: float = 0

    def observe(self, seconds: float) -> None:
        """Count one observation."""
        self._count_by_bucket[bisect_left(BUCKETS_SECONDS, seconds)] += 1
        self._total += seconds

    def exported(self) -> BucketCounts:
        """Return the library's form, whose buckets hold those below."""
        counts = BucketCounts(*BUCKETS_SECONDS)
        sums = accumulate(self._count_by_bucket)
        counts.buckets.update(zip(counts.buckets, sums, strict=True))
        counts.observations = sum(self._count_by_bucket)
        counts.sum = self._total
        return counts


class Metrics:
    """The metrics of one process, by the names in ``METRIC_SPECS``."""

    __slots__ = (
        '_buckets_by_name',
        '_cells_by_name',
        '_collector_by_name',
        '_registry',
        '_spec_by_name',
    )

    def __init__(self, node: str) -> None:
        """Make every metric, with the node's name as a label."""
        self._registry = Registry()
        self._spec_by_name = {spec.name: spec for spec in METRIC_SPECS}
        self._cells_by_name: dict[str, dict[_Labels, Cell]] = {}
        self._buckets_by_name: dict[str, dict[_Labels, Buckets]] = {}
        self._collector_by_name = {
            spec.name: self._collector(spec, {'node': _escaped(node)})
            for spec in METRIC_SPECS
        }

    def cell(self, name: str, *label_values: str) -> Cell:
        """Return the number of a counter or gauge, to be kept by its user."""
        cells = self._cells_by_name.setdefault(name, {})
        return cells.setdefault(self._checked(name, label_values), Cell())

    def buckets(self, name: str, *label_values: str) -> Buckets:
        """Return the buckets of a histogram, to be kept by their user."""
        held = self._buckets_by_name.setdefault(name, {})
        return held.setdefault(self._checked(name, label_values), Buckets())

    def export_account(self, snapshot: AccountSnapshot) -> None:
        """Set the metrics of calls from an account's snapshot."""
        for line in snapshot.lines:
            for name, labels, count in _account_counts(line):
                key = (line.service, line.kind, str(line.importance))
                self.cell(name, *key, *labels).value = count

    def render(
        self, accepts: Sequence[str] = ()
    ) -> tuple[bytes, dict[str, str]]:
        """Return the exposition and its HTTP headers."""
        for name, cells in self._cells_by_name.items():
            for labels, cell in cells.items():
                self._export(name, labels, cell.value)
        for name, held in self._buckets_by_name.items():
            for labels, buckets in held.items():
                self._export(name, labels, buckets.exported())
        return render(self._registry, accepts)

    def _checked(self, name: str, label_values: _Labels) -> _Labels:
        expected = self._spec_by_name[name].labels
        if len(expected) != len(label_values):
            raise ValueError(f'{name} takes the labels {expected}')
        return label_values

    def _export(
        self,
        name: str,
        label_values: _Labels,
        exported: float | BucketCounts,
    ) -> None:
        names = self._spec_by_name[name].labels
        values = map(_escaped, label_values)
        labels = dict(zip(names, values, strict=True))
        self._collector_by_name[name].set_value(labels, exported)

    def _collector(
        self,
        spec: MetricSpec,
        const_labels: dict[str, str],
    ) -> Counter | Gauge | Histogram:
        if spec.kind == HISTOGRAM:
            return Histogram(
                spec.name,
                spec.meaning,
                const_labels,
                self._registry,
                BUCKETS_SECONDS,
            )
        collector = Counter if spec.kind == COUNTER else Gauge
        return collector(spec.name, spec.meaning, const_labels, self._registry)


def _account_counts(line: AccountLine) -> Iterator[tuple[str, _Labels, int]]:
    yield 'lovageshunt_calls_arrived_total', (), line.arrived
    yield 'lovageshunt_calls_dispatched_total', (), line.dispatched
    yield 'lovageshunt_calls_retries_total', (), line.retries
    yield 'lovageshunt_calls_running', (), line.running
    answered = (Outcome.ANSWERED.value, '')
    yield 'lovageshunt_calls_ended_total', answered, line.answered
    for cause in causes_of(line):
        if cause.end == 'wasted':
            yield 'lovageshunt_calls_wasted_total', (cause.reason,), cause.calls
            continue
        outcome = _OUTCOME_BY_END[cause.end]
        ended = (outcome.value, cause.reason)
        yield 'lovageshunt_calls_ended_total', ended, cause.calls


def _escaped(label: str) -> str:
    # The library writes labels as they are, and kinds come from callers.
    return label.translate(_ESCAPES)
