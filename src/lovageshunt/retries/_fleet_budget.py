"""One retry budget for a fleet, divided among nodes that do not ask."""

from collections import deque
from collections.abc import Iterable
from itertools import accumulate
from typing import Final

from lovageshunt._record import Record

#: The share of the fleet's budget that its nodes use between them: what is
#: left covers windows that slide and nodes that do not know of one another.
_USED_SHARE: Final = 0.7
#: How many times its even part a bucket may spend on refused calls: a little
#: more, so that the parts that some buckets leave are used.
_PACE: Final = 1.2
#: Buckets in one window.
_BUCKETS: Final = 10


class FleetBudgetSettings(Record):
    """In each window a service may get so many retries from the fleet.

    ``ratio`` retries for each request, and ``reserve`` more.
    """

    __slots__ = ('ratio', 'reserve', 'window_seconds')

    def __init__(
        self,
        *,
        ratio: float,
        reserve: float,
        window_seconds: float,
    ) -> None:
        """Take every field by name."""
        self.ratio = ratio
        self.reserve = reserve
        self.window_seconds = window_seconds


class _Bucket:
    """The requests and retries of a tenth of a window."""

    __slots__ = ('number', 'requests', 'retries')

    def __init__(self, number: float) -> None:
        """Begin with none."""
        self.number = number
        self.requests = float(0)
        self.retries = float(0)


class FleetRetryBudget:
    """This node's part of the budget for retries to one service.

    It counts the requests that this node sent itself, of which the ratio is
    its own, and takes an equal part of the reserve. A window allows retries
    for its own requests, for those of the window before it, or for those half
    a window before it, whichever are most; so when requests become few, as
    they do when many are refused, the retries of those that are left go on.
    """

    __slots__ = ('_settings', '_buckets', 'node_count')

    def __init__(self, settings: FleetBudgetSettings) -> None:
        """Begin with no requests; ``node_count`` divides the reserve."""
        self._settings = settings
        self._buckets: deque[_Bucket] = deque()
        self.node_count = 1

    def requested(self, now: float) -> None:
        """Count a first request."""
        self._bucket(now).requests += 1

    def count_nested_retry(self, now: float) -> None:
        """Count a call that a run makes which was a repeat itself.

        It is a repeat at the service that is called, and nobody asks whether
        there was one left: the run above would fail without it.
        """
        self._bucket(now).retries += 1

    def may_spend(self, now: float, count: float = 1) -> bool:
        """Tell whether so many retries are there.

        They are if every window that this moment is or will be in has room
        for them, even if no more requests come.
        """
        recent = self._recent(now)
        requests = _sums(bucket.requests for bucket in recent)
        retries = _sums(bucket.retries for bucket in recent)
        return all(
            _latest(retries, later) + count
            <= self._allowed(_most_requests(requests, later))
            for later in range(_BUCKETS)
        )

    def spend(self, now: float, count: float = 1) -> bool:
        """Spend retries; return whether they were there."""
        if not self.may_spend(now, count):
            return False
        self._bucket(now).retries += count
        return True

    def keeps_pace(self, now: float) -> bool:
        """Tell whether this moment has spent no more than its even part.

        When a service begins to refuse calls, all of them together would
        spend what a window allows within a second.
        """
        part = self.per_second(now) * self._bucket_seconds
        return self._bucket(now).retries < _PACE * part

    def per_second(self, now: float) -> float:
        """Return the retries a second that a window allows, spent or not."""
        requests = _sums(each.requests for each in self._recent(now))
        allowed = self._allowed(_most_requests(requests, 0))
        return allowed / self._settings.window_seconds

    @property
    def _bucket_seconds(self) -> float:
        return self._settings.window_seconds / _BUCKETS

    def _allowed(self, requests: float) -> float:
        settings = self._settings
        reserve = settings.reserve / max(1, self.node_count)
        return _USED_SHARE * (settings.ratio * requests + reserve)

    def _recent(self, now: float) -> list[_Bucket]:
        """Return the buckets of two windows, the present one last."""
        newest = self._bucket(now).number
        by_number = {each.number: each for each in self._buckets}
        return [
            by_number.get(newest - age, _NOTHING)
            for age in range(2 * _BUCKETS - 1, -1, -1)
        ]

    def _bucket(self, now: float) -> _Bucket:
        """Return the bucket of this moment; forget the old ones."""
        number = now // self._bucket_seconds
        oldest = number - 2 * _BUCKETS
        while self._buckets and self._buckets[0].number <= oldest:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]


class FleetRetryBudgets:
    """This node's parts of the budgets for retries, by service."""

    __slots__ = ('_settings', '_by_service', 'node_count')

    def __init__(self, settings: FleetBudgetSettings) -> None:
        """Begin with none; ``node_count`` divides the reserves."""
        self._settings = settings
        self._by_service: dict[str, FleetRetryBudget] = {}
        self.node_count = 1

    def of(self, service: str) -> FleetRetryBudget:
        """Return the budget for retries to a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = FleetRetryBudget(self._settings)
            self._by_service[service] = budget
        budget.node_count = self.node_count
        return budget

    def per_second_by_service(self, now: float) -> dict[str, float]:
        """Return the retries a second that windows allow, by service."""
        return {
            service: budget.per_second(now)
            for service, budget in self._by_service.items()
        }


#: Stands for the buckets in which nothing happened.
_NOTHING: Final = _Bucket(float('-inf'))


def _sums(counts: Iterable[float]) -> list[float]:
    """Return the sums of the first none, one, two and more counts."""
    return list(accumulate(counts, initial=float(0)))


def _latest(sums: list[float], later: int) -> float:
    """Return what so far lies in a window that ends so many buckets later.

    It is a bucket longer than a window, as windows end at any moment.
    """
    return sums[-1] - sums[_BUCKETS - 1 + later]


def _most_requests(sums: list[float], later: int) -> float:
    """Return the requests that a window may go by.

    ``sums`` are those of the buckets of two windows, ``later`` by how many
    buckets the window ends after the present one.
    """
    most = 2 * _BUCKETS
    half_ends = min(later + _BUCKETS + _BUCKETS // 2, most)
    return max(
        sums[most] - sums[_BUCKETS + later],
        sums[_BUCKETS + later] - sums[later],
        sums[half_ends] - sums[later + _BUCKETS // 2],
    )
