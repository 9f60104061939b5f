"""Counting and exporting of metrics."""

import pytest

from lovageshunt.account import Account
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.observability import METRIC_SPECS, Metrics


def lines_of(metrics):
    """Render metrics and split the exposition into lines."""
    return metrics.render()[0].decode().splitlines()


class TestMetrics:
    """The exposition of counters, gauges and histograms."""

    def test_account_is_exported(self):
        """Refused calls have service, kind, importance and reason."""
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

    def test_buckets_are_cumulative(self):
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
        """A scrape sets the counters of the library, not adds to them."""
        metrics = Metrics('n1')
        metrics.series('lovageshunt_pauses_total').value += 2
        metrics.render()

        assert 'lovageshunt_pauses_total{node="n1"} 2' in lines_of(metrics)

    def test_kind_cannot_forge_a_line(self):
        """Quotes and line ends in a kind, which callers choose, are escaped."""
        account = Account('n1', 'a', 0)
        account.arrived('balances', 'x"} 1\nforged 9', 1)
        metrics = Metrics('n1')

        metrics.export_account(account.snapshot(1.0))

        assert 'forged 9' not in ''.join(
            line for line in lines_of(metrics) if line.startswith('forged')
        )

    def test_wrong_labels_are_refused(self):
        """A series with too few label values is a programming error."""
        with pytest.raises(ValueError, match='service'):
            Metrics('n1').series('lovageshunt_concurrency_limit')

    @pytest.mark.parametrize('spec', METRIC_SPECS, ids=lambda spec: spec.name)
    def test_every_metric_has_an_alert(self, spec):
        """Each metric has a help text and an alert condition."""
        assert spec.meaning
        assert spec.alert
