"""The tree of a trace."""

from lovageshunt.observability import SpanRecord, trace_tree
from tests.only import only


def span_of(span_id, parent_id='', started_at=0):
    """Return an answered span named for its id."""
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
    """Printing."""

    def test_children_stand_below_parents_in_order_of_start(self):
        """Spans of any order are shown as one tree."""
        spans = [
            span_of('late', 'root', 3.0),
            span_of('root'),
            span_of('early', 'root', 1.0),
            span_of('root'),
        ]

        names = [line.split(' at ')[0] for line in trace_tree(spans)]

        assert names == ['root', '  early', '  late']

    def test_span_without_its_parent_is_marked(self):
        """A span whose parent no node kept begins a tree and says so."""
        line = only(trace_tree([span_of('a', 'gone')]))

        assert line.endswith('(parent not kept)')

    def test_circle_of_parents_ends(self):
        """Spans that name each other as parents do not hang the printer."""
        spans = [span_of('a', 'b'), span_of('b', 'a')]

        assert len(trace_tree(spans)) == 2
