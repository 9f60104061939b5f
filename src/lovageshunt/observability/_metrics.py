"""Metrics, counted in plain numbers and exported at each scrape.

The collectors of the library serialise their labels at each increment. So the
series here hold the numbers, and the collectors are filled at the scrape.
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

#: Inclusive upper bounds of the buckets of every histogram, in seconds.
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


class MetricSeries:
    """The value of a counter or gauge for one set of labels.

    Callers add to ``value`` or set it.
    """

    __slots__ = ('value',)

    def __init__(self) -> None:
        self.value: float = 0


class HistogramBuckets:
    """The observations of a histogram for one set of labels.

    Counts are per bucket and not cumulative; the sum is in seconds.
    """

    __slots__ = ('_count_by_bucket', '_sum_seconds')

    def __init__(self) -> None:
        self._count_by_bucket = [0, *(0 for _ in BUCKETS_SECONDS)]
        self._sum_seconds: float = 0

    def observe(self, seconds: float) -> None:
        """Add one observation, a duration in seconds."""
        self._count_by_bucket[bisect_left(BUCKETS_SECONDS, seconds)] += 1
        self._sum_seconds += seconds

    def export(self) -> BucketCounts:
        """Return the counts in the library's form, which is cumulative."""
        counts = BucketCounts(*BUCKETS_SECONDS)
        cumulative = accumulate(self._count_by_bucket)
        counts.buckets.update(zip(counts.buckets, cumulative, strict=True))
        counts.observations = sum(self._count_by_bucket)
        counts.sum = self._sum_seconds
        return counts


class Metrics:
    """The metrics of one process, by the names in ``METRIC_SPECS``.

    The name of the node is a label of each of them.
    """

    __slots__ = (
        '_buckets_by_name',
        '_series_by_name',
        '_collector_by_name',
        '_registry',
        '_spec_by_name',
    )

    def __init__(self, node: str) -> None:
        self._registry = Registry()
        self._spec_by_name = {spec.name: spec for spec in METRIC_SPECS}
        self._series_by_name: dict[str, dict[_Labels, MetricSeries]] = {}
        self._buckets_by_name: dict[str, dict[_Labels, HistogramBuckets]] = {}
        self._collector_by_name = {
            spec.name: self._create_collector(
                spec, {'node': _escape_label(node)}
            )
            for spec in METRIC_SPECS
        }

    def series(self, name: str, *label_values: str) -> MetricSeries:
        """Return the series of a counter or gauge, the same at each call.

        Raises ``ValueError`` if the number of label values is wrong.
        """
        series_by_labels = self._series_by_name.setdefault(name, {})
        return series_by_labels.setdefault(
            self._check_labels(name, label_values), MetricSeries()
        )

    def buckets(self, name: str, *label_values: str) -> HistogramBuckets:
        """Return the buckets of a histogram, the same at each call.

        Raises ``ValueError`` if the number of label values is wrong.
        """
        buckets_by_labels = self._buckets_by_name.setdefault(name, {})
        return buckets_by_labels.setdefault(
            self._check_labels(name, label_values), HistogramBuckets()
        )

    def export_account(self, snapshot: AccountSnapshot) -> None:
        """Set the metrics of calls to the counts of an account's snapshot."""
        for line in snapshot.lines:
            for name, labels, count in _account_counts(line):
                key = (line.service, line.kind, str(line.importance))
                self.series(name, *key, *labels).value = count

    def render(
        self, accepts: Sequence[str] = ()
    ) -> tuple[bytes, dict[str, str]]:
        """Return the exposition in an accepted format and its HTTP headers."""
        for name, series_by_labels in self._series_by_name.items():
            for labels, series in series_by_labels.items():
                self._export(name, labels, series.value)
        for name, buckets_by_labels in self._buckets_by_name.items():
            for labels, buckets in buckets_by_labels.items():
                self._export(name, labels, buckets.export())
        return render(self._registry, accepts)

    def _check_labels(self, name: str, label_values: _Labels) -> _Labels:
        expected = self._spec_by_name[name].labels
        if len(expected) != len(label_values):
            raise ValueError(
                f'metric {name}: expected labels {expected}, got values '
                f'{label_values}',
            )
        return label_values

    def _export(
        self,
        name: str,
        label_values: _Labels,
        exported: float | BucketCounts,
    ) -> None:
        names = self._spec_by_name[name].labels
        values = map(_escape_label, label_values)
        labels = dict(zip(names, values, strict=True))
        self._collector_by_name[name].set_value(labels, exported)

    def _create_collector(
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


def _escape_label(label: str) -> str:
    # The library does not escape label values, and callers choose the kinds.
    return label.translate(_ESCAPES)
