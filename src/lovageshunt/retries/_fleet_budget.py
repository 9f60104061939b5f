"""A fleet-wide retry budget, divided among nodes without coordination."""

from collections import deque
from collections.abc import Iterable
from itertools import accumulate
from typing import Final

from lovageshunt._record import Record

#: The fraction of the fleet's budget that its nodes use together: the rest is
#: a margin for sliding windows and for nodes that do not know of one another.
_USED_FRACTION: Final = 0.7
#: How many times its even part a bucket may spend on refused calls: above 1,
#: so that what other buckets leave unspent is used.
_MAX_PACE: Final = 1.2
#: Number of buckets in a window.
_BUCKETS: Final = 10


class FleetBudgetSettings(Record):
    """How many retries the fleet may send to a service in each window.

    In ``window_seconds`` these are ``ratio`` retries for each request, and
    ``reserve`` more.
    """

    __slots__ = ('ratio', 'reserve', 'window_seconds')

    def __init__(
        self,
        *,
        ratio: float,
        reserve: float,
        window_seconds: float,
    ) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.window_seconds = window_seconds


class _Bucket:
    """The requests and retries of a tenth of a window.

    ``number`` counts buckets from time 0.
    """

    __slots__ = ('number', 'requests', 'retries')

    def __init__(self, number: float) -> None:
        self.number = number
        self.requests = float(0)
        self.retries = float(0)


class FleetRetryBudget:
    """This node's part of the fleet's budget for retries to one service.

    It is the ratio of the requests that this node sent itself, and an equal
    part of the reserve: one of ``node_count`` parts. A window allows retries
    for the requests in it, in the window before it, or in the window half a
    window before it, whichever has most. So when requests become few, as they
    do when many are refused, the remaining ones can still be retried.
    """

    __slots__ = ('_settings', '_buckets', 'node_count')

    def __init__(self, settings: FleetBudgetSettings) -> None:
        self._settings = settings
        self._buckets: deque[_Bucket] = deque()
        self.node_count = 1

    def requested(self, now: float) -> None:
        """Count a first request."""
        self._bucket(now).requests += 1

    def count_nested_retry(self, now: float) -> None:
        """Count a call made by a run that is a retry itself.

        It is a retry at the called service, and is counted even beyond the
        budget: without it the calling run would fail.
        """
        self._bucket(now).retries += 1

    def may_spend(self, now: float, count: float = 1) -> bool:
        """Return whether the budget allows ``count`` more retries now.

        It does if every window that contains this moment stays within its
        limit, even if no more requests arrive.
        """
        recent = self._recent(now)
        requests = _prefix_sums(bucket.requests for bucket in recent)
        retries = _prefix_sums(bucket.retries for bucket in recent)
        return all(
            _count_in_window(retries, later) + count
            <= self._allowed(_max_requests(requests, later))
            for later in range(_BUCKETS)
        )

    def spend(self, now: float, count: float = 1) -> bool:
        """Spend retries if the budget allows; return whether it did."""
        if not self.may_spend(now, count):
            return False
        self._bucket(now).retries += count
        return True

    def keeps_pace(self, now: float) -> bool:
        """Return whether the current bucket is within its even part.

        Otherwise, when a service begins to refuse calls, their retries would
        use up the budget of a window within a second.
        """
        part = self.per_second(now) * self._bucket_seconds
        return self._bucket(now).retries < _MAX_PACE * part

    def per_second(self, now: float) -> float:
        """Return the retries a second that the budget allows, spent or not."""
        requests = _prefix_sums(each.requests for each in self._recent(now))
        allowed = self._allowed(_max_requests(requests, 0))
        return allowed / self._settings.window_seconds

    @property
    def _bucket_seconds(self) -> float:
        return self._settings.window_seconds / _BUCKETS

    def _allowed(self, requests: float) -> float:
        settings = self._settings
        reserve = settings.reserve / max(1, self.node_count)
        return _USED_FRACTION * (settings.ratio * requests + reserve)

    def _recent(self, now: float) -> list[_Bucket]:
        """Return the buckets of the last two windows, oldest first."""
        newest = self._bucket(now).number
        by_number = {each.number: each for each in self._buckets}
        return [
            by_number.get(newest - age, _EMPTY_BUCKET)
            for age in range(2 * _BUCKETS - 1, -1, -1)
        ]

    def _bucket(self, now: float) -> _Bucket:
        """Return the current bucket; drop those older than two windows."""
        number = now // self._bucket_seconds
        oldest = number - 2 * _BUCKETS
        while self._buckets and self._buckets[0].number <= oldest:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]


class FleetRetryBudgets:
    """This node's parts of the fleet's retry budgets, by service.

    ``node_count`` is the number of nodes that divide each reserve.
    """

    __slots__ = ('_settings', '_by_service', 'node_count')

    def __init__(self, settings: FleetBudgetSettings) -> None:
        self._settings = settings
        self._by_service: dict[str, FleetRetryBudget] = {}
        self.node_count = 1

    def of(self, service: str) -> FleetRetryBudget:
        """Return the budget for retries to a service; create it if new."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = FleetRetryBudget(self._settings)
            self._by_service[service] = budget
        budget.node_count = self.node_count
        return budget

    def per_second_by_service(self, now: float) -> dict[str, float]:
        """Return the retries a second that the budgets allow, by service."""
        return {
            service: budget.per_second(now)
            for service, budget in self._by_service.items()
        }


#: Used for buckets without any request or retry.
_EMPTY_BUCKET: Final = _Bucket(float('-inf'))


def _prefix_sums(counts: Iterable[float]) -> list[float]:
    """Return the prefix sums of some counts, from 0 to the total."""
    return list(accumulate(counts, initial=float(0)))


def _count_in_window(sums: list[float], later: int) -> float:
    """Return the count so far in the window that ends ``later`` buckets on.

    It includes one bucket more than a window has, because windows may end
    within a bucket.
    """
    return sums[-1] - sums[_BUCKETS - 1 + later]


def _max_requests(sums: list[float], later: int) -> float:
    """Return the number of requests that limits the retries of a window.

    ``sums`` are the prefix sums over the buckets of two windows; the window
    ends ``later`` buckets after the current one.
    """
    total = 2 * _BUCKETS
    half_ends = min(later + _BUCKETS + _BUCKETS // 2, total)
    return max(
        sums[total] - sums[_BUCKETS + later],
        sums[_BUCKETS + later] - sums[later],
        sums[half_ends] - sums[later + _BUCKETS // 2],
    )
