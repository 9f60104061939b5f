"""Event loop in simulated time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Callback = Callable[[], None]


class Loop:
    """Runs callbacks in order of time; ``now`` is in seconds from 0.

    Callbacks that are due at the same time run in the order of scheduling.
    """

    def __init__(self) -> None:
        self.now = float(0)
        self._order = count()
        self._scheduled: list[tuple[float, int, Callback]] = []

    def call_at(self, time: float, callback: Callback) -> None:
        """Schedule a callback at an absolute time in seconds."""
        heappush(self._scheduled, (time, next(self._order), callback))

    def call_later(self, seconds: float, callback: Callback) -> None:
        """Schedule a callback relative to ``now``."""
        self.call_at(self.now + seconds, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to and including ``until``."""
        while self._scheduled and self._scheduled[0][0] <= until:
            time, _order, callback = heappop(self._scheduled)
            self.now = time
            callback()
