"""How a request's retries are best divided over the hops of a call graph.

Run ``python -m bench.retry_shares``: random call graphs in which calls fail
and answers are lost, under several ways of handing shares down.
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
_AMPLE: Final = RetryBudgetSettings(reserve=10_000, floor=10_000)


class Graph(Record):
    """Calls below one hop: groups run in turn, each group in parallel."""

    __slots__ = ('groups',)

    def __init__(self, *, groups: tuple[tuple['Graph', ...], ...]) -> None:
        """Take the groups of calls."""
        self.groups = groups


class FailureProbabilities(Record):
    """How often a call fails at its target, is refused, or loses its answer."""

    __slots__ = ('failed', 'not_run', 'lost')

    def __init__(self, *, failed: float, not_run: float, lost: float) -> None:
        """Take the three probabilities of one attempt."""
        self.failed = failed
        self.not_run = not_run
        self.lost = lost


class Answer(Record):
    """What came back from one attempt; ``unspent`` is 0 when it was lost."""

    __slots__ = ('failure', 'unspent')

    def __init__(self, *, failure: AttemptFailure, unspent: int) -> None:
        """Take the end of the attempt and what it gives back."""
        self.failure = failure
        self.unspent = unspent


class RequestSimulation:
    """One root request in a graph; ``arrivals`` are counted at targets."""

    def __init__(
        self,
        graph: Graph,
        odds: FailureProbabilities,
        random: Random,
        pool_factory: PoolFactory = AllowancePool,
    ) -> None:
        """Begin with nothing sent."""
        self.arrivals: Counter[str] = Counter()
        self._graph = graph
        self._odds = odds
        self._random = random
        self._pool_factory = pool_factory
        self._budget = RetryBudget(_AMPLE, 0)

    @property
    def retries(self) -> int:
        """Return how many attempts reached targets beyond the first ones."""
        return sum(count - 1 for count in self.arrivals.values())

    def request(self, bound: int, attempt: int) -> bool:
        """Let the caller send one attempt; return whether it was answered."""
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
        """Run one attempt; its calls below name it in their own paths."""
        self.arrivals[path] += 1
        if self._random.random() < self._odds.not_run:
            leaving = AttemptFailure(
                outcome=Outcome.NOT_RUN,
                reason=RefusalReason.LEAVING,
            )
            return Answer(failure=leaving, unspent=share)
        pool = self._pool_factory(share)
        is_whole = self._run_below(f'{path}.{number}', graph, pool)
        if self._random.random() < self._odds.lost:
            lost = AttemptFailure(
                outcome=Outcome.UNKNOWN,
                reason=RefusalReason.CONNECTION_LOST,
            )
            return Answer(failure=lost, unspent=0)
        return Answer(
            failure=self._end(is_whole=is_whole),
            unspent=pool.unspent,
        )

    def _end(self, *, is_whole: bool) -> AttemptFailure:
        if not is_whole:
            return AttemptFailure(
                outcome=Outcome.FAILED,
                reason=RefusalReason.RETRY_BOUND,
            )
        if self._random.random() < self._odds.failed:
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
            ended = [
                self._call(f'{path}/{at}-{index}', child, shares[index], pool)
                for index, child in enumerate(group)
            ]
            if not all(ended):
                return False
        return True

    def _call(
        self,
        path: str,
        graph: Graph,
        share: int,
        pool: AllowancePool,
    ) -> bool:
        """Make one call with its retries; return whether it was answered."""
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
    """Return a graph of at most ``depth`` hops that thins out downward."""
    if depth <= 1:
        return Graph(groups=())
    turns = random.randint(1, width)
    groups = tuple(_random_group(random, depth, width) for _ in range(turns))
    return Graph(groups=groups)


def _random_group(random: Random, depth: int, width: int) -> tuple[Graph, ...]:
    narrower = max(1, width - 1)
    return tuple(
        random_graph(random, depth - 1, narrower)
        for _ in range(random.randint(1, width))
    )


class LeafPool(AllowancePool):
    """Hands shares to services that call no other as well."""

    def share(self, *, calls_below: bool = True) -> int:
        """Take the share of any call."""
        return super().share()

    def shares(
        self,
        count: int,
        *,
        leaves: Collection[int] = (),
    ) -> list[int]:
        """Take the shares of any parallel calls."""
        return super().shares(count)


class KeepOnePool(AllowancePool):
    """Keeps one retry for an answer that is lost, where there are two."""

    def _to_hand_down(self) -> int:
        return min(self.unspent, max(1, self.unspent - 1))


class KeepHalfPool(AllowancePool):
    """Keeps half, rounded down."""

    def _to_hand_down(self) -> int:
        return self.unspent - self.unspent // 2


_POOLS: Final[Mapping[str, PoolFactory]] = MappingProxyType(
    {
        'chosen': AllowancePool,
        'to leaves': LeafPool,
        'keep one': KeepOnePool,
        'keep half': KeepHalfPool,
    }
)
_ODDS: Final = (
    ('failures', FailureProbabilities(failed=0.03, not_run=0, lost=0)),
    ('lost answers', FailureProbabilities(failed=0, not_run=0, lost=0.03)),
    ('all kinds', FailureProbabilities(failed=0.01, not_run=0.02, lost=0.01)),
)


def measure(
    odds: FailureProbabilities, pool_factory: PoolFactory, depth: int
) -> str:
    """Return one row: answered share, mean and largest number of retries."""
    random = Random(depth)
    answered = 0
    retries: list[int] = []
    for _ in range(_REQUESTS):
        graph = random_graph(random, depth, 2)
        chain = RequestSimulation(graph, odds, random, pool_factory)
        answered += chain.request(_BOUND, 1)
        retries.append(chain.retries)
    mean = sum(retries) / _REQUESTS
    return f'{answered / _REQUESTS:8.1%} {mean:8.3f} {max(retries):4d}'


def print_table() -> None:
    """Print every way under every kind of fault."""
    _print(f'bound {_BOUND}, {_REQUESTS} requests a row, first attempts only')
    _print('depth faults        way         answered  retries  max')
    for depth in (4, 13):
        for fault, odds in _ODDS:
            for way, pool_factory in _POOLS.items():
                row = measure(odds, pool_factory, depth)
                _print(f'{depth:5d} {fault:13} {way:11}{row}')


def _print(line: str) -> None:
    stdout.write(f'{line}\n')


if __name__ == '__main__':
    print_table()
