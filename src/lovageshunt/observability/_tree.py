"""The tree of a trace, for people."""

from collections.abc import Iterable, Iterator
from typing import Final

from lovageshunt.observability._spans import SpanRecord

_INDENT: Final = '  '


def trace_tree(spans: Iterable[SpanRecord]) -> list[str]:
    """Return one line for each span, children indented below parents.

    Spans of several nodes are joined by their ids; the same span given
    twice is shown once. A span whose parent is not among them begins a
    tree of its own, marked as such.
    """
    span_by_id = {span.span_id: span for span in spans}
    children_by_id: dict[str, list[SpanRecord]] = {}
    for span in sorted(span_by_id.values(), key=_start_order):
        parent_id = span.parent_id if span.parent_id in span_by_id else ''
        children_by_id.setdefault(parent_id, []).append(span)
    lines = list(_lines(children_by_id, '', 0))
    # What is left are circles, which only faulty spans make.
    while children_by_id:
        lines.extend(_lines(children_by_id, next(iter(children_by_id)), 0))
    return lines


def _lines(
    children_by_id: dict[str, list[SpanRecord]],
    parent_id: str,
    depth: int,
) -> Iterator[str]:
    # Each list is taken out, so that spans which name each other as parents
    # cannot make this endless.
    for span in children_by_id.pop(parent_id, ()):
        yield _INDENT * depth + _shown(span, is_cut=not depth)
        yield from _lines(children_by_id, span.span_id, depth + 1)


def _shown(span: SpanRecord, *, is_cut: bool) -> str:
    ending = f'{span.outcome}: {span.reason}' if span.reason else span.outcome
    missing = ' (parent not kept)' if is_cut and span.parent_id else ''
    return (
        f'{span.name} at {span.node} '
        f'{span.duration_ms:.1f} ms {ending}{missing}'
    )


def _start_order(span: SpanRecord) -> tuple[float, str]:
    return (span.started_at, span.span_id)
