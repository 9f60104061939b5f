"""Compare ways to divide a request's retries over a call graph.

Run ``python -m bench.retry_shares``. It simulates random call graphs in which
calls fail and answers are lost, under several policies for passing shares of
the retry allowance to the calls below.
"""

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from random import Random
from sys import stdout
from types import MappingProxyType
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.retries import (
    AllowancePool,
    AttemptFailure,
    RetryBudget,
    RetryBudgetSettings,
    allowance_for,
    decide_retry,
)

PoolFactory = Callable[[int], AllowancePool]

_REQUESTS: Final = 4000
_BOUND: Final = 3
_NON_LIMITING_BUDGET: Final = RetryBudgetSettings(reserve=10_000, floor=10_000)


class Graph(Record):
    """Calls made by one hop.

    The groups run one after the other; the calls of a group run in parallel.
    """

    __slots__ = ('groups',)

    def __init__(self, *, groups: tuple[tuple['Graph', ...], ...]) -> None:
        self.groups = groups


class FailureProbabilities(Record):
    """Probabilities that an attempt fails, is refused or loses its answer."""

    __slots__ = ('failed', 'not_run', 'lost')

    def __init__(self, *, failed: float, not_run: float, lost: float) -> None:
        self.failed = failed
        self.not_run = not_run
        self.lost = lost


class Answer(Record):
    """The result of an attempt; ``unspent`` retries are 0 if it was lost."""

    __slots__ = ('failure', 'unspent')

    def __init__(self, *, failure: AttemptFailure, unspent: int) -> None:
        self.failure = failure
        self.unspent = unspent


class RequestSimulation:
    """A root request in a call graph.

    ``arrivals`` counts the attempts that reached each target, by call path.
    """

    def __init__(
        self,
        graph: Graph,
        probabilities: FailureProbabilities,
        random: Random,
        pool_factory: PoolFactory = AllowancePool,
    ) -> None:
        self.arrivals: Counter[str] = Counter()
        self._graph = graph
        self._probabilities = probabilities
        self._random = random
        self._pool_factory = pool_factory
        self._budget = RetryBudget(_NON_LIMITING_BUDGET, 0)

    @property
    def retries(self) -> int:
        """The number of attempts at targets beyond the first for each call."""
        return sum(count - 1 for count in self.arrivals.values())

    def request(self, bound: int, attempt: int) -> bool:
        """Send an attempt of the caller; return whether it was answered."""
        share = allowance_for(bound, attempt)
        if share is None:
            return False
        answer = self._attempt('root', self._graph, share.retries, attempt)
        return answer.failure.outcome is Outcome.ANSWERED

    def _attempt(
        self,
        path: str,
        graph: Graph,
        share: int,
        number: int,
    ) -> Answer:
        """Run an attempt; the paths of the calls below include its number."""
        self.arrivals[path] += 1
        if self._random.random() < self._probabilities.not_run:
            leaving = AttemptFailure(
                outcome=Outcome.NOT_RUN,
                reason=RefusalReason.LEAVING,
            )
            return Answer(failure=leaving, unspent=share)
        pool = self._pool_factory(share)
        is_complete = self._run_below(f'{path}.{number}', graph, pool)
        if self._random.random() < self._probabilities.lost:
            lost = AttemptFailure(
                outcome=Outcome.UNKNOWN,
                reason=RefusalReason.CONNECTION_LOST,
            )
            return Answer(failure=lost, unspent=0)
        return Answer(
            failure=self._end(is_complete=is_complete),
            unspent=pool.unspent,
        )

    def _end(self, *, is_complete: bool) -> AttemptFailure:
        if not is_complete:
            return AttemptFailure(
                outcome=Outcome.FAILED,
                reason=RefusalReason.RETRY_BOUND,
            )
        if self._random.random() < self._probabilities.failed:
            return AttemptFailure(
                outcome=Outcome.FAILED,
                reason=RefusalReason.TARGET_FAILED,
            )
        return AttemptFailure(outcome=Outcome.ANSWERED)

    def _run_below(self, path: str, graph: Graph, pool: AllowancePool) -> bool:
        for at, group in enumerate(graph.groups):
            leaves = [
                index for index, child in enumerate(group) if not child.groups
            ]
            shares = pool.shares(len(group), leaves=leaves)
            answered_calls = [
                self._call(f'{path}/{at}-{index}', child, shares[index], pool)
                for index, child in enumerate(group)
            ]
            if not all(answered_calls):
                return False
        return True

    def _call(
        self,
        path: str,
        graph: Graph,
        share: int,
        pool: AllowancePool,
    ) -> bool:
        """Make a call and its retries; return whether it was answered."""
        tries = 0
        while True:
            tries += 1
            answer = self._attempt(path, graph, share, tries)
            pool.give_back(share=share, unspent=answer.unspent)
            failure = answer.failure
            failure.tries = tries
            verdict = decide_retry(
                failure,
                now=0,
                deadline=1000,
                is_repeatable=True,
                pool=pool,
                budget=self._budget,
                typical_seconds=1,
                random=self._random,
            )
            if not verdict.is_retry:
                return failure.outcome is Outcome.ANSWERED
            share = pool.share(calls_below=bool(graph.groups))


def random_graph(random: Random, depth: int, width: int) -> Graph:
    """Return a graph of at most ``depth`` hops that narrows downward."""
    if depth <= 1:
        return Graph(groups=())
    group_count = random.randint(1, width)
    groups = tuple(
        _random_group(random, depth, width) for _ in range(group_count)
    )
    return Graph(groups=groups)


def _random_group(random: Random, depth: int, width: int) -> tuple[Graph, ...]:
    narrower = max(1, width - 1)
    return tuple(
        random_graph(random, depth - 1, narrower)
        for _ in range(random.randint(1, width))
    )


class LeafPool(AllowancePool):
    """Also passes shares to calls that make no calls themselves."""

    def share(self, *, calls_below: bool = True) -> int:
        """Take a share, whether or not there are calls below."""
        return super().share()

    def shares(
        self,
        count: int,
        *,
        leaves: Collection[int] = (),
    ) -> list[int]:
        """Take shares for all parallel calls, leaves included."""
        return super().shares(count)


class KeepOnePool(AllowancePool):
    """Keeps one of two or more retries for the case of a lost answer."""

    def _to_hand_down(self) -> int:
        return min(self.unspent, max(1, self.unspent - 1))


class KeepHalfPool(AllowancePool):
    """Keeps half of the unspent retries, rounded down."""

    def _to_hand_down(self) -> int:
        return self.unspent - self.unspent // 2


_POOL_FACTORIES: Final[Mapping[str, PoolFactory]] = MappingProxyType(
    {
        'chosen': AllowancePool,
        'to leaves': LeafPool,
        'keep one': KeepOnePool,
        'keep half': KeepHalfPool,
    }
)
_FAULTS: Final = (
    ('failures', FailureProbabilities(failed=0.03, not_run=0, lost=0)),
    ('lost answers', FailureProbabilities(failed=0, not_run=0, lost=0.03)),
    ('all kinds', FailureProbabilities(failed=0.01, not_run=0.02, lost=0.01)),
)


def measure(
    probabilities: FailureProbabilities, pool_factory: PoolFactory, depth: int
) -> str:
    """Return a row: answered share, mean and maximum number of retries."""
    random = Random(depth)
    answered = 0
    retries: list[int] = []
    for _ in range(_REQUESTS):
        graph = random_graph(random, depth, 2)
        simulation = RequestSimulation(
            graph, probabilities, random, pool_factory
        )
        answered += simulation.request(_BOUND, 1)
        retries.append(simulation.retries)
    mean = sum(retries) / _REQUESTS
    return f'{answered / _REQUESTS:8.1%} {mean:8.3f} {max(retries):4d}'


def print_table() -> None:
    """Print a row for each depth, kind of fault and policy."""
    _print(f'bound {_BOUND}, {_REQUESTS} requests a row, first attempts only')
    _print('depth faults        way         answered  retries  max')
    for depth in (4, 13):
        for fault, probabilities in _FAULTS:
            for policy, pool_factory in _POOL_FACTORIES.items():
                row = measure(probabilities, pool_factory, depth)
                _print(f'{depth:5d} {fault:13} {policy:11}{row}')


def _print(line: str) -> None:
    stdout.write(f'{line}\n')


if __name__ == '__main__':
    print_table()
