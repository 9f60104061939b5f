"""Formats the spans of a trace as an indented tree."""

from collections.abc import Iterable, Iterator
from typing import Final

from lovageshunt.observability._spans import SpanRecord

_INDENT: Final = '  '


def format_trace_tree(spans: Iterable[SpanRecord]) -> list[str]:
    """Return one line per span, children indented below their parents.

    Spans of several nodes are joined by their ids, and duplicates are shown
    once. A span whose parent is missing starts a tree of its own and is marked
    ``(parent not kept)``.
    """
    span_by_id = {span.span_id: span for span in spans}
    children_by_id: dict[str, list[SpanRecord]] = {}
    for span in sorted(span_by_id.values(), key=_start_order):
        parent_id = span.parent_id if span.parent_id in span_by_id else ''
        children_by_id.setdefault(parent_id, []).append(span)
    lines = list(_format_subtree(children_by_id, '', 0))
    # Only cycles of parents are left, which malformed spans can cause.
    while children_by_id:
        lines.extend(
            _format_subtree(children_by_id, next(iter(children_by_id)), 0)
        )
    return lines


def _format_subtree(
    children_by_id: dict[str, list[SpanRecord]],
    parent_id: str,
    depth: int,
) -> Iterator[str]:
    # Each list is removed when it is visited, so that a cycle of parents
    # cannot cause endless recursion.
    for span in children_by_id.pop(parent_id, ()):
        yield _INDENT * depth + _format_span(span, is_root=not depth)
        yield from _format_subtree(children_by_id, span.span_id, depth + 1)


def _format_span(span: SpanRecord, *, is_root: bool) -> str:
    result = f'{span.outcome}: {span.reason}' if span.reason else span.outcome
    missing = ' (parent not kept)' if is_root and span.parent_id else ''
    return (
        f'{span.name} at {span.node} '
        f'{span.duration_ms:.1f} ms {result}{missing}'
    )


def _start_order(span: SpanRecord) -> tuple[float, str]:
    return (span.started_at, span.span_id)
