"""Learning which calls the runs of each kind make."""

from random import Random

from lovageshunt.pressure import CallCounts, CallGraph, CallSampler

#: One target: views run long and call nothing, peeks call four times.
SECONDS = {'view': 0.15, 'peek': 0.08}
CALLS = {'view': 0, 'peek': 4}
RATES = {'view': 40.0, 'peek': 170.0}


def learned(
    seconds: float,
    seed: int,
    slowness: float = 1,
) -> dict[str, dict[str, float]]:
    """Play a target and return what its node makes of it.

    In its second half every peek takes so many times as long.
    """
    rng = Random(seed)
    graph = CallGraph()
    watch = CallSampler(0)
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
    for at, what, kind, began in sorted(events):
        for counts in watch.take_windows(at):
            graph.learn(counts)
        if what == 'end':
            watch.ended(kind, began, at, is_good=True)
        else:
            watch.called(kind, at)
    return graph.calls_by_kind()


class TestCallGraph:
    """Calls a run, found without a word from the calls themselves."""

    def test_tells_callers_from_others(self) -> None:
        """The kind that calls gets the calls, the other few or none."""
        for seed in range(5):
            calls = learned(20, seed)
            assert 3.6 < calls['peek'].get('ledger', 0) < 4.4
            assert calls['view'].get('ledger', 0) < 0.8

    def test_bears_calls_that_become_slow(self) -> None:
        """A congested service below does not change what is called."""
        for seed in range(5):
            calls = learned(20, seed, slowness=6)
            assert 3.4 < calls['peek'].get('ledger', 0) < 4.4
            assert calls['view'].get('ledger', 0) < 0.8

    def test_counts_what_a_good_run_calls(self) -> None:
        """Runs that fail after their first call do not lower the count."""
        rng = Random(2)
        graph = CallGraph()
        watch = CallSampler(0)
        now = 0.0
        while now < 30:
            now += rng.expovariate(100)
            for counts in watch.take_windows(now):
                graph.learn(counts)
            is_good = rng.random() < 0.3
            for _ in range(4 if is_good else 1):
                watch.called('ledger', now)
            watch.ended('peek', now - 0.01, now + 0.01, is_good=is_good)
        assert 3.4 < graph.calls_by_kind()['peek']['ledger'] < 4.6

    def test_is_not_misled_by_a_few_failed_runs(self) -> None:
        """Failures that fall into a burst of calls say nothing against the
        good runs.
        """
        graph = CallGraph()
        for window in range(400):
            is_burst = window % 40 == 0
            runs = {'peek': 2.0, '!peek': 0.5} if is_burst else {'peek': 2.0}
            calls = {'ledger': 20 if is_burst else 8}
            graph.learn(CallCounts(runs_by_kind=runs, calls_by_kind=calls))
        assert 3.5 < graph.calls_by_kind()['peek']['ledger'] < 4.6

    def test_learns_from_failed_runs_while_there_are_no_others(self) -> None:
        """When every run fails below, it is still known what they call."""
        graph = CallGraph()
        watch = CallSampler(0)
        for at in range(400):
            now = at * 0.02
            for counts in watch.take_windows(now):
                graph.learn(counts)
            watch.called('ledger', now)
            watch.ended('peek', now - 0.01, now + 0.01, is_good=False)
        assert graph.calls_by_kind()['peek']['ledger'] > 0.8

    def test_knows_nothing_of_an_idle_target(self) -> None:
        """Without runs there are no kinds."""
        assert not CallGraph().calls_by_kind()
