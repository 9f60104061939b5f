"""Logs, metrics and traces."""

from lovageshunt.observability._logs import (
    RateLimit,
    configure_logs,
    log_scope,
)
from lovageshunt.observability._metrics import Buckets, Cell, Metrics
from lovageshunt.observability._spans import (
    ActiveSpan,
    SpanRecord,
    decode_span,
)
from lovageshunt.observability._specs import METRIC_SPECS, MetricSpec
from lovageshunt.observability._traces import Traces
from lovageshunt.observability._tree import trace_tree

__all__ = [
    'METRIC_SPECS',
    'ActiveSpan',
    'Buckets',
    'Cell',
    'MetricSpec',
    'Metrics',
    'RateLimit',
    'SpanRecord',
    'Traces',
    'configure_logs',
    'decode_span',
    'log_scope',
    'trace_tree',
]
