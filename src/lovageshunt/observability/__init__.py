"""Structured logs, metrics and traces of one process."""

from lovageshunt.observability._logs import (
    LogRateLimit,
    configure_logs,
    log_scope,
    may_log,
)
from lovageshunt.observability._metrics import (
    HistogramBuckets,
    Metrics,
    MetricSeries,
)
from lovageshunt.observability._spans import (
    ActiveSpan,
    SpanRecord,
    decode_span,
)
from lovageshunt.observability._specs import METRIC_SPECS, MetricSpec
from lovageshunt.observability._traces import Traces
from lovageshunt.observability._tree import format_trace_tree

__all__ = [
    'METRIC_SPECS',
    'ActiveSpan',
    'HistogramBuckets',
    'MetricSeries',
    'MetricSpec',
    'Metrics',
    'LogRateLimit',
    'SpanRecord',
    'Traces',
    'configure_logs',
    'decode_span',
    'log_scope',
    'may_log',
    'format_trace_tree',
]
