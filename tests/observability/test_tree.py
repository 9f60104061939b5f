"""Formatting the spans of a trace as a tree."""

from lovageshunt.observability import SpanRecord, format_trace_tree
from tests.only import only


def span_of(span_id, parent_id='', started_at=0):
    """Return an answered span whose name is its id."""
    return SpanRecord(
        trace_id='t',
        span_id=span_id,
        parent_id=parent_id,
        name=span_id,
        node='n1',
        service='balances',
        request_id='r',
        call_id='c',
        started_at=started_at,
        duration_ms=1.0,
        outcome='answered',
        reason='',
    )


class TestTraceTree:
    """The lines of the tree."""

    def test_children_follow_parents_in_order_of_start(self):
        """Spans in any order, with a duplicate, give one tree."""
        spans = [
            span_of('late', 'root', 3.0),
            span_of('root'),
            span_of('early', 'root', 1.0),
            span_of('root'),
        ]

        names = [line.split(' at ')[0] for line in format_trace_tree(spans)]

        assert names == ['root', '  early', '  late']

    def test_span_without_its_parent_is_marked(self):
        """A span whose parent is missing starts a tree and is marked."""
        line = only(format_trace_tree([span_of('a', 'gone')]))

        assert line.endswith('(parent not kept)')

    def test_cycle_of_parents_ends(self):
        """Spans that are each other's parents do not loop forever."""
        spans = [span_of('a', 'b'), span_of('b', 'a')]

        assert len(format_trace_tree(spans)) == 2
