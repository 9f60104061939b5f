"""Traces with a span for each hop, stored in bounded memory."""

import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.id_generator import IdGenerator, RandomIdGenerator
from opentelemetry.sdk.trace.sampling import ALWAYS_ON, TraceIdRatioBased
from opentelemetry.trace import (
    INVALID_SPAN_CONTEXT,
    NonRecordingSpan,
    SpanContext,
    TraceFlags,
    format_span_id,
    format_trace_id,
    get_current_span,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.observability._spans import ActiveSpan, SpanRecord

_HEADER: Final = 'traceparent'
_NS_PER_SECOND: Final = 1_000_000_000
_NS_PER_MS: Final = 1_000_000
#: Sampling compares the low 64 bits of a trace id, as the SDK's sampler does.
_SAMPLING_MASK: Final = (1 << 64) - 1


class _PresetIds(IdGenerator):
    """Returns preset ids instead of new ones.

    The SDK creates a span only when its hop ends, and by then the next hop
    has already received the ids.
    """

    def __init__(self) -> None:
        self.trace_id = 0
        self.span_id = 0

    def generate_trace_id(self) -> int:
        return self.trace_id

    def generate_span_id(self) -> int:
        return self.span_id


class _RecentSpans(SpanExporter):
    """Stores the newest spans; the oldest are dropped at ``capacity``."""

    def __init__(self, capacity: int) -> None:
        self.records: deque[SpanRecord] = deque(maxlen=capacity)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        self.records.extend(_to_record(span) for span in spans)
        return SpanExportResult.SUCCESS


class Traces:
    """Starts and ends the spans of one node or caller.

    A span is stored if its trace is sampled, if its call was not answered or
    if it took at least ``slow_seconds``. Only a stored span is created with
    the SDK, and only when it ends, so that the others cost little.

    ``sampling_ratio`` is the share of new traces to sample, from 0 to 1; for
    other traces the decision of the caller applies. ``capacity`` is the
    maximum number of spans in memory. Each of ``exporters`` also gets every
    stored span.
    """

    def __init__(
        self,
        *,
        node: str,
        sampling_ratio: float,
        slow_seconds: float,
        capacity: int = 512,
        exporters: Iterable[SpanExporter] = (),
        clock_ns: Callable[[], int] = time.time_ns,
        ids: IdGenerator | None = None,
    ) -> None:
        self._ids = ids or RandomIdGenerator()
        self._clock_ns = clock_ns
        self._slow_ns = int(slow_seconds * _NS_PER_SECOND)
        self._sampling_bound = TraceIdRatioBased.get_bound_for_rate(
            sampling_ratio
        )
        self._propagator = TraceContextTextMapPropagator()
        self._recent = _RecentSpans(capacity)
        self._preset_ids = _PresetIds()
        provider = TracerProvider(
            sampler=ALWAYS_ON,
            id_generator=self._preset_ids,
            resource=Resource({'service.instance.id': node}),
            shutdown_on_exit=False,
        )
        for exporter in (self._recent, *exporters):
            provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer('lovageshunt')

    def start(
        self,
        name: str,
        *,
        trace_parent: str = '',
        request_id: str = '',
        call_id: str = '',
        service: str = '',
    ) -> ActiveSpan:
        """Start a span, in a new trace if ``trace_parent`` is not valid."""
        parent = self._extract(trace_parent)
        span_context = self._new_span_context(parent)
        return ActiveSpan(
            name=name,
            trace_id=format_trace_id(span_context.trace_id),
            span_id=format_span_id(span_context.span_id),
            parent_id=format_span_id(parent.span_id) if parent.is_valid else '',
            is_sampled=span_context.trace_flags.sampled,
            trace_parent=self._inject(span_context),
            request_id=request_id,
            call_id=call_id,
            service=service,
            started_ns=self._clock_ns(),
        )

    def end(
        self,
        span: ActiveSpan,
        outcome: Outcome,
        reason: RefusalReason | None = None,
    ) -> bool:
        """End a span and return whether it was stored."""
        ended_ns = self._clock_ns()
        is_slow = ended_ns - span.started_ns >= self._slow_ns
        is_fast_answer = outcome is Outcome.ANSWERED and not is_slow
        if is_fast_answer and not span.is_sampled:
            return False
        self._store(span, ended_ns, outcome, reason)
        return True

    def recent(self, trace_or_request_id: str) -> list[SpanRecord]:
        """Return the stored spans of a trace or request, first ended first."""
        return [
            record
            for record in self._recent.records
            if trace_or_request_id in (record.trace_id, record.request_id)
        ]

    def _extract(self, trace_parent: str) -> SpanContext:
        context = self._propagator.extract({_HEADER: trace_parent})
        return get_current_span(context).get_span_context()

    def _inject(self, span_context: SpanContext) -> str:
        carrier: dict[str, str] = {}
        context = set_span_in_context(NonRecordingSpan(span_context))
        self._propagator.inject(carrier, context)
        return carrier[_HEADER]

    def _new_span_context(self, parent: SpanContext) -> SpanContext:
        if parent.is_valid:
            trace_id = parent.trace_id
            flags = parent.trace_flags
        else:
            trace_id = self._ids.generate_trace_id()
            is_sampled = trace_id & _SAMPLING_MASK < self._sampling_bound
            flags = TraceFlags(TraceFlags.SAMPLED if is_sampled else 0)
        return SpanContext(
            trace_id=trace_id,
            span_id=self._ids.generate_span_id(),
            is_remote=False,
            trace_flags=flags,
        )

    def _store(
        self,
        span: ActiveSpan,
        ended_ns: int,
        outcome: Outcome,
        reason: RefusalReason | None,
    ) -> None:
        self._preset_ids.trace_id = int(span.trace_id, 16)
        self._preset_ids.span_id = int(span.span_id, 16)
        stored = self._tracer.start_span(
            span.name,
            context=self._parent_context(span),
            start_time=span.started_ns,
            attributes={
                'request_id': span.request_id,
                'call_id': span.call_id,
                'service': span.service,
                'outcome': outcome.value,
                'reason': reason.value if reason else '',
            },
        )
        stored.end(ended_ns)

    def _parent_context(self, span: ActiveSpan) -> Context:
        if not span.parent_id:
            return Context()
        parent = SpanContext(
            trace_id=int(span.trace_id, 16),
            span_id=int(span.parent_id, 16),
            is_remote=True,
        )
        return set_span_in_context(NonRecordingSpan(parent))


def _to_record(span: ReadableSpan) -> SpanRecord:
    # A span that has ended always has a context and times; the fallbacks are
    # for the type checker, as the SDK declares them optional.
    context = span.get_span_context() or INVALID_SPAN_CONTEXT
    started_ns = span.start_time or 0
    attributes = span.attributes or {}
    return SpanRecord(
        trace_id=format_trace_id(context.trace_id),
        span_id=format_span_id(context.span_id),
        parent_id=format_span_id(span.parent.span_id) if span.parent else '',
        name=span.name,
        node=str(span.resource.attributes['service.instance.id']),
        service=str(attributes['service']),
        request_id=str(attributes['request_id']),
        call_id=str(attributes['call_id']),
        started_at=started_ns / _NS_PER_SECOND,
        duration_ms=((span.end_time or 0) - started_ns) / _NS_PER_MS,
        outcome=str(attributes['outcome']),
        reason=str(attributes['reason']),
    )
