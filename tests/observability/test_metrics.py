"""Metrics."""

import pytest

from lovageshunt.account import Account
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.observability import METRIC_SPECS, Metrics


def lines_of(metrics):
    """Return the lines of the exposition."""
    return metrics.render()[0].decode().splitlines()


class TestMetrics:
    """Counting and exporting."""

    def test_account_is_exported(self):
        """Refusals are exposed by service, kind, importance and reason."""
        account = Account('n1', 'a', 0)
        call = ('balances', 'lookup', 1)
        account.arrived(*call)
        account.ended(*call, Outcome.NOT_RUN, RefusalReason.OVERLOAD)
        metrics = Metrics('n1')

        metrics.export_account(account.snapshot(1.0))

        expected = (
            'lovageshunt_calls_ended_total{importance="1",kind="lookup",'
            'node="n1",outcome="not_run",reason="overload",'
            'service="balances"} 1'
        )
        assert expected in lines_of(metrics)

    def test_buckets_hold_all_below(self):
        """A bucket counts every observation up to its bound."""
        metrics = Metrics('n1')
        buckets = metrics.buckets('lovageshunt_queue_seconds', 'balances')
        for seconds in (0.001, 0.03, 0.04, 20):
            buckets.observe(seconds)

        counts = [line.rpartition(' ') for line in lines_of(metrics)]
        shown = {
            name.partition('le="')[2].partition('"')[0]: float(count)
            for name, _, count in counts
            if '_bucket' in name
        }

        assert shown['0.001'] == 1
        assert shown['0.05'] == 3
        assert shown['+Inf'] == 4

    def test_second_scrape_does_not_count_twice(self):
        """Counters are set at a scrape, not added to."""
        metrics = Metrics('n1')
        metrics.cell('lovageshunt_pauses_total').value += 2
        metrics.render()

        assert 'lovageshunt_pauses_total{node="n1"} 2' in lines_of(metrics)

    def test_kind_cannot_forge_a_line(self):
        """Quotes and line ends in a caller's kind are escaped."""
        account = Account('n1', 'a', 0)
        account.arrived('balances', 'x"} 1\nforged 9', 1)
        metrics = Metrics('n1')

        metrics.export_account(account.snapshot(1.0))

        assert 'forged 9' not in ''.join(
            line for line in lines_of(metrics) if line.startswith('forged')
        )

    def test_wrong_labels_are_refused(self):
        """A cell with too few labels is a programming error."""
        with pytest.raises(ValueError, match='service'):
            Metrics('n1').cell('lovageshunt_concurrency_limit')

    @pytest.mark.parametrize('spec', METRIC_SPECS, ids=lambda spec: spec.name)
    def test_every_metric_has_an_alert(self, spec):
        """Each metric says what it means and when to look."""
        assert spec.meaning
        assert spec.alert
