"""Tests of the trace command."""

import pytest

from lovageshunt.calls import Outcome
from lovageshunt.cli import main
from lovageshunt.observability import Traces
from tests.cli.admin_server import admin_server


def body_of(traces, request_id):
    """Return an answer with the spans of one request."""
    spans = [span.as_dict() for span in traces.recent(request_id)]
    return {'node': 'n', 'incarnation': 'a', 'spans': spans}


class TestTrace:
    """``lovageshunt trace``."""

    def test_tree_is_joined_across_nodes(self, capsys):
        """Spans of two nodes are printed as one tree."""
        upstream = Traces(node='n1', sampling_ratio=1.0, slow_seconds=9)
        downstream = Traces(node='n2', sampling_ratio=1.0, slow_seconds=9)
        parent = upstream.start('balances', request_id='r')
        child = downstream.start(
            'records',
            trace_parent=parent.trace_parent,
            request_id='r',
        )
        downstream.end(child, Outcome.ANSWERED)
        upstream.end(parent, Outcome.ANSWERED)
        with (
            admin_server({'/v1/traces/r': body_of(downstream, 'r')}) as one,
            admin_server({'/v1/traces/r': body_of(upstream, 'r')}) as two,
        ):
            code = main(['trace', 'r', f'--nodes={one},{two}'])

        first, second = capsys.readouterr().out.splitlines()
        assert code == 0
        assert first.startswith('balances at n1')
        assert second.startswith('  records at n2')

    def test_missing_span_is_reported(self, capsys):
        """An id without a span on any node gives exit code 1."""
        with admin_server({'/v1/traces/r': {'spans': []}}) as address:
            code = main(['trace', 'r', f'--nodes={address}'])

        assert code == 1
        assert 'no node has a span of r' in capsys.readouterr().out

    @pytest.mark.parametrize('argv', [[], ['a', 'b'], ['../status']])
    def test_wrong_id_is_refused(self, capsys, argv):
        """Anything but one well-formed id gives exit code 2."""
        assert main(['trace', *argv, '--nodes=127.0.1:1']) == 2
        assert 'id' in capsys.readouterr().err
