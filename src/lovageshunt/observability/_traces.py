"""Traces with a span for each hop, kept in a bounded memory."""

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
#: Sampling looks at this part of a trace id, as the SDK's sampler does.
_SAMPLED_BITS: Final = (1 << 64) - 1


class _HandedOutIds(IdGenerator):
    """Give a span the ids that its hop already sent to the next one."""

    def __init__(self) -> None:
        self.trace_id = 0
        self.span_id = 0

    def generate_trace_id(self) -> int:
        return self.trace_id

    def generate_span_id(self) -> int:
        return self.span_id


class _RecentSpans(SpanExporter):
    """Hold the newest spans in a ring."""

    def __init__(self, capacity: int) -> None:
        self.records: deque[SpanRecord] = deque(maxlen=capacity)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        self.records.extend(_record_of(span) for span in spans)
        return SpanExportResult.SUCCESS


class Traces:
    """Begin and end the spans of one node or caller.

    A span of a sampled trace is kept, and so is each that was not answered
    or took ``slow_seconds`` or longer. Only a kept span is made with the
    SDK, when it ends, so that the others cost little. ``share`` is the part
    of new traces to sample, from 0 to 1; a trace that a caller sampled, or
    did not, stays so. ``capacity`` counts the spans held in memory.
    """

    def __init__(
        self,
        *,
        node: str,
        share: float,
        slow_seconds: float,
        capacity: int = 512,
        exporters: Iterable[SpanExporter] = (),
        clock_ns: Callable[[], int] = time.time_ns,
        ids: IdGenerator | None = None,
    ) -> None:
        """Take the settings; ``exporters`` also get each kept span."""
        self._ids = ids or RandomIdGenerator()
        self._clock_ns = clock_ns
        self._slow_ns = int(slow_seconds * _NS_PER_SECOND)
        self._bound = TraceIdRatioBased.get_bound_for_rate(share)
        self._propagator = TraceContextTextMapPropagator()
        self._recent = _RecentSpans(capacity)
        self._handed_out = _HandedOutIds()
        provider = TracerProvider(
            sampler=ALWAYS_ON,
            id_generator=self._handed_out,
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
        """Begin a span, in the trace of ``trace_parent`` if that is valid."""
        parent = self._extract(trace_parent)
        own = self._own_context(parent)
        return ActiveSpan(
            name=name,
            trace_id=format_trace_id(own.trace_id),
            span_id=format_span_id(own.span_id),
            parent_id=format_span_id(parent.span_id) if parent.is_valid else '',
            is_sampled=own.trace_flags.sampled,
            trace_parent=self._inject(own),
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
        """End a span and say whether it was kept."""
        ended_ns = self._clock_ns()
        is_slow = ended_ns - span.started_ns >= self._slow_ns
        is_dull = outcome is Outcome.ANSWERED and not is_slow
        if is_dull and not span.is_sampled:
            return False
        self._keep(span, ended_ns, outcome, reason)
        return True

    def recent(self, some_id: str) -> list[SpanRecord]:
        """Return the kept spans of a trace or request id, oldest first."""
        return [
            record
            for record in self._recent.records
            if some_id in (record.trace_id, record.request_id)
        ]

    def _extract(self, trace_parent: str) -> SpanContext:
        context = self._propagator.extract({_HEADER: trace_parent})
        return get_current_span(context).get_span_context()

    def _inject(self, own: SpanContext) -> str:
        carrier: dict[str, str] = {}
        context = set_span_in_context(NonRecordingSpan(own))
        self._propagator.inject(carrier, context)
        return carrier[_HEADER]

    def _own_context(self, parent: SpanContext) -> SpanContext:
        if parent.is_valid:
            trace_id = parent.trace_id
            flags = parent.trace_flags
        else:
            trace_id = self._ids.generate_trace_id()
            is_sampled = trace_id & _SAMPLED_BITS < self._bound
            flags = TraceFlags(TraceFlags.SAMPLED if is_sampled else 0)
        return SpanContext(
            trace_id=trace_id,
            span_id=self._ids.generate_span_id(),
            is_remote=False,
            trace_flags=flags,
        )

    def _keep(
        self,
        span: ActiveSpan,
        ended_ns: int,
        outcome: Outcome,
        reason: RefusalReason | None,
    ) -> None:
        self._handed_out.trace_id = int(span.trace_id, 16)
        self._handed_out.span_id = int(span.span_id, 16)
        kept = self._tracer.start_span(
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
        kept.end(ended_ns)

    def _parent_context(self, span: ActiveSpan) -> Context:
        if not span.parent_id:
            return Context()
        parent = SpanContext(
            trace_id=int(span.trace_id, 16),
            span_id=int(span.parent_id, 16),
            is_remote=True,
        )
        return set_span_in_context(NonRecordingSpan(parent))


def _record_of(span: ReadableSpan) -> SpanRecord:
    # The SDK always gives a span that has ended its context and its times.
    context = span.get_span_context() or INVALID_SPAN_CONTEXT
    started_ns = span.start_time or 0
    told = span.attributes or {}
    return SpanRecord(
        trace_id=format_trace_id(context.trace_id),
        span_id=format_span_id(context.span_id),
        parent_id=format_span_id(span.parent.span_id) if span.parent else '',
        name=span.name,
        node=str(span.resource.attributes['service.instance.id']),
        service=str(told['service']),
        request_id=str(told['request_id']),
        call_id=str(told['call_id']),
        started_at=started_ns / _NS_PER_SECOND,
        duration_ms=((span.end_time or 0) - started_ns) / _NS_PER_MS,
        outcome=str(told['outcome']),
        reason=str(told['reason']),
    )
