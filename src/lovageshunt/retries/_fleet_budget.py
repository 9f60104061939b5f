"""One retry budget for a fleet, divided among nodes that do not ask."""

from collections import deque
from typing import Final

from lovageshunt._record import Record

#: The share of the fleet's budget that its nodes use between them: what is
#: left covers windows that slide and nodes that do not know of one another.
_USED_SHARE: Final = 0.7
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
        self.requests = 0
        self.retries = float(0)


class FleetRetryBudget:
    """This node's part of the budget for retries to one service.

    It counts the requests that this node sent itself, of which the ratio is
    its own, and takes an equal part of the reserve.
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

    def repeated_above(self, now: float) -> None:
        """Count a call that a run makes which was a repeat itself.

        It is a repeat at the service that is called, and nobody asks whether
        there was one left: the run above would fail without it.
        """
        self._bucket(now).retries += 1

    def may_spend(self, now: float, count: float = 1) -> bool:
        """Tell whether so many retries are there."""
        self._bucket(now)
        requests = sum(bucket.requests for bucket in self._buckets)
        spent = sum(bucket.retries for bucket in self._buckets)
        settings = self._settings
        reserve = settings.reserve / max(1, self.node_count)
        allowed = _USED_SHARE * (settings.ratio * requests + reserve)
        return spent + count <= allowed

    def spend(self, now: float, count: float = 1) -> bool:
        """Spend retries; return whether they were there."""
        if not self.may_spend(now, count):
            return False
        self._bucket(now).retries += count
        return True

    def _bucket(self, now: float) -> _Bucket:
        """Return the bucket of this moment; forget what left the window."""
        span = self._settings.window_seconds / _BUCKETS
        number = now // span
        while self._buckets and self._buckets[0].number <= number - _BUCKETS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
