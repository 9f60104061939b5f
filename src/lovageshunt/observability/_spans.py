"""Spans of hops, while they run and as they are stored."""

from typing import Any, Final

from lovageshunt._record import Record
from lovageshunt.errors import MalformedSpanError

_FLOAT_FIELDS: Final = frozenset(('started_at', 'duration_ms'))


class ActiveSpan(Record):
    """A hop of a call that has not ended.

    Ids are hexadecimal as in the W3C ``traceparent`` header, and
    ``parent_id`` is empty for the first hop. ``trace_parent`` is the header to
    send to the next hop. ``started_ns`` is in nanoseconds since 1970.
    """

    __slots__ = (
        'name',
        'trace_id',
        'span_id',
        'parent_id',
        'is_sampled',
        'trace_parent',
        'request_id',
        'call_id',
        'service',
        'started_ns',
    )

    def __init__(
        self,
        *,
        name: str,
        trace_id: str,
        span_id: str,
        parent_id: str,
        is_sampled: bool,
        trace_parent: str,
        request_id: str,
        call_id: str,
        service: str,
        started_ns: int,
    ) -> None:
        self.name = name
        self.trace_id = trace_id
        self.span_id = span_id
        self.parent_id = parent_id
        self.is_sampled = is_sampled
        self.trace_parent = trace_parent
        self.request_id = request_id
        self.call_id = call_id
        self.service = service
        self.started_ns = started_ns


class SpanRecord(Record):
    """A hop of a call that has ended, as a node stores and reports it.

    ``started_at`` is in seconds since 1970 on the node's clock,
    ``duration_ms`` in milliseconds. ``reason`` is empty if there is none.
    """

    __slots__ = (
        'trace_id',
        'span_id',
        'parent_id',
        'name',
        'node',
        'service',
        'request_id',
        'call_id',
        'started_at',
        'duration_ms',
        'outcome',
        'reason',
    )

    def __init__(
        self,
        *,
        trace_id: str,
        span_id: str,
        parent_id: str,
        name: str,
        node: str,
        service: str,
        request_id: str,
        call_id: str,
        started_at: float,
        duration_ms: float,
        outcome: str,
        reason: str,
    ) -> None:
        self.trace_id = trace_id
        self.span_id = span_id
        self.parent_id = parent_id
        self.name = name
        self.node = node
        self.service = service
        self.request_id = request_id
        self.call_id = call_id
        self.started_at = started_at
        self.duration_ms = duration_ms
        self.outcome = outcome
        self.reason = reason


def decode_span(fields: dict[str, Any]) -> SpanRecord:
    """Return the span from a decoded JSON object.

    Raises ``MalformedSpanError`` if a field is missing, unknown or of the
    wrong type.
    """
    try:
        span = SpanRecord(**fields)
    except TypeError as error:
        raise MalformedSpanError(str(error)) from error
    for name, field in span.as_dict().items():
        expected = float if name in _FLOAT_FIELDS else str
        if not isinstance(field, expected):
            raise MalformedSpanError(
                f'{name}: expected {expected.__name__}, got {field!r}',
            )
    return span
