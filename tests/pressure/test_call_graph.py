"""Estimating which calls the runs of each kind make."""

from random import Random

from lovageshunt.pressure import CallCounts, CallGraph, CallSampler

#: One target: views run long and call nothing, peeks make four calls.
SECONDS = {'view': 0.15, 'peek': 0.08}
CALLS = {'view': 0, 'peek': 4}
RATES = {'view': 40.0, 'peek': 170.0}


def are_all_internal(kind: str) -> bool:
    return True


def estimated_calls(
    seconds: float,
    seed: int,
    slowness: float = 1,
) -> dict[str, dict[str, float]]:
    """Simulate a target and return the estimated calls per run.

    In the second half every peek takes ``slowness`` times as long.
    """
    rng = Random(seed)
    graph = CallGraph()
    sampler = CallSampler(0)
    events: list[tuple[float, str, str, float]] = []
    for kind, rate in RATES.items():
        now = 0.0
        while now < seconds:
            now += rng.expovariate(rate)
            length = rng.uniform(0.5, 1.5) * SECONDS[kind]
            if kind == 'peek' and now > seconds / 2:
                length *= slowness
            events.append((now + length, 'end', kind, now))
            events += [
                (now + length * (at + 0.5) / CALLS[kind], 'call', 'ledger', 0)
                for at in range(CALLS[kind])
            ]
    for at, what, kind, started_at in sorted(events):
        for counts in sampler.take_windows(at):
            graph.learn(counts)
        if what == 'end':
            sampler.ended(kind, started_at, at, is_good=True)
        else:
            sampler.called(kind, at)
    return graph.calls_by_kind(are_all_internal)


class TestCallGraph:
    """Calls per run, although calls name no parent."""

    def test_attributes_calls_to_the_kind_that_makes_them(self) -> None:
        """The kind that calls is credited, the other hardly or not at all."""
        for seed in range(5):
            calls = estimated_calls(20, seed)
            assert 3.6 < calls['peek'].get('ledger', 0) < 4.4
            assert calls['view'].get('ledger', 0) < 0.8

    def test_is_stable_when_calls_become_slow(self) -> None:
        """A congested downstream service does not change the estimate."""
        for seed in range(5):
            calls = estimated_calls(20, seed, slowness=6)
            assert 3.4 < calls['peek'].get('ledger', 0) < 4.4
            assert calls['view'].get('ledger', 0) < 0.8

    def test_counts_the_calls_of_good_runs(self) -> None:
        """Runs that fail after their first call do not lower the count."""
        rng = Random(2)
        graph = CallGraph()
        sampler = CallSampler(0)
        now = 0.0
        while now < 30:
            now += rng.expovariate(100)
            for counts in sampler.take_windows(now):
                graph.learn(counts)
            is_good = rng.random() < 0.3
            for _ in range(4 if is_good else 1):
                sampler.called('ledger', now)
            sampler.ended('peek', now - 0.01, now + 0.01, is_good=is_good)
        assert (
            3.4 < graph.calls_by_kind(are_all_internal)['peek']['ledger'] < 4.6
        )

    def test_is_not_misled_by_a_few_failed_runs(self) -> None:
        """Failures that coincide with a burst of calls do not replace the
        estimate from the good runs.
        """
        graph = CallGraph()
        for window in range(400):
            is_burst = window % 40 == 0
            runs = {'peek': 2.0, '!peek': 0.5} if is_burst else {'peek': 2.0}
            calls = {'ledger': 20 if is_burst else 8}
            graph.learn(CallCounts(runs_by_kind=runs, calls_by_kind=calls))
        assert (
            3.5 < graph.calls_by_kind(are_all_internal)['peek']['ledger'] < 4.6
        )

    def test_learns_from_failed_runs_while_there_are_no_others(self) -> None:
        """When every run fails downstream, its calls are still estimated."""
        graph = CallGraph()
        sampler = CallSampler(0)
        for at in range(400):
            now = at * 0.02
            for counts in sampler.take_windows(now):
                graph.learn(counts)
            sampler.called('ledger', now)
            sampler.ended('peek', now - 0.01, now + 0.01, is_good=False)
        assert graph.calls_by_kind(are_all_internal)['peek']['ledger'] > 0.8

    def test_counts_calls_before_their_kind_is_known(self) -> None:
        """Guards against a bottom that is underestimated after a start.

        Which kinds are calls is found out seconds after the first of them;
        the runs until then made theirs too. Requests of clients are no calls.
        """
        graph = CallGraph()
        for _ in range(60):
            calls = {'ledger': 8, 'view': 5}
            graph.learn(
                CallCounts(runs_by_kind={'peek': 2.0}, calls_by_kind=calls)
            )
        assert not graph.calls_by_kind(lambda kind: False)['peek']
        found = graph.calls_by_kind(lambda kind: kind == 'ledger')['peek']
        assert found.keys() == {'ledger'}
        assert 3.9 < found['ledger'] < 4.1

    def test_is_empty_for_an_idle_target(self) -> None:
        """Without runs there are no kinds to estimate."""
        assert not CallGraph().calls_by_kind(are_all_internal)
