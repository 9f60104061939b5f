"""A clock that jumps from event to event."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Callback = Callable[[], None]


class Loop:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        """Start at time 0 with nothing to do."""
        self.now = float(0)
        self._order = count()
        self._due: list[tuple[float, int, Callback]] = []

    def at(self, time: float, callback: Callback) -> None:
        """Run a callback at a time."""
        heappush(self._due, (time, next(self._order), callback))

    def after(self, seconds: float, callback: Callback) -> None:
        """Run a callback after some seconds."""
        self.at(self.now + seconds, callback)

    def run(self, until: float) -> None:
        """Run everything that is due until a time."""
        while self._due and self._due[0][0] <= until:
            time, _order, callback = heappop(self._due)
            self.now = time
            callback()
