"""Counts runs in progress and calls made, in short windows."""

from collections import deque
from typing import Final

from lovageshunt.pressure._call_graph import FAILED_PREFIX, CallCounts

#: The length of a window, in seconds: shorter than most runs, so that a
#: window shows which of them were in progress when a call was made.
_WINDOW_SECONDS: Final = 0.05
#: A window is returned only after this many others, because a run is counted
#: in past windows when it ends.
_HELD_WINDOWS: Final = 18


class CallSampler:
    """Spreads each run over the windows in which it was in progress.

    The fractions of a run add up to one, however long it took, so that calls
    per run stay the same when everything slows down.
    """

    __slots__ = ('_windows', '_first_number')

    def __init__(self, now: float) -> None:
        self._first_number = int(now / _WINDOW_SECONDS)
        self._windows: deque[CallCounts] = deque()

    def ended(
        self,
        kind: str,
        started_at: float,
        now: float,
        *,
        is_good: bool,
    ) -> None:
        """Count a run that ended now.

        A failed run made only some of its calls, so failed runs are counted
        apart from the good ones of their kind.
        """
        if not is_good:
            kind = FAILED_PREFIX + kind
        seconds = max(now - started_at, _WINDOW_SECONDS / 10)
        self._extend(now)
        begin = max(started_at, self._first_number * _WINDOW_SECONDS)
        number = int(begin / _WINDOW_SECONDS)
        while begin < now:
            end = min(now, (number + 1) * _WINDOW_SECONDS)
            runs = self._windows[number - self._first_number].runs_by_kind
            fraction = (end - begin) / seconds
            runs[kind] = runs.get(kind, 0) + fraction
            begin = end
            number += 1

    def called(self, kind: str, now: float) -> None:
        """Count a request from the VM, which may be a call by its target."""
        self._extend(now)
        calls = self._windows[-1].calls_by_kind
        calls[kind] = calls.get(kind, 0) + 1

    def take_windows(self, now: float) -> list[CallCounts]:
        """Remove and return the complete windows, oldest first."""
        self._extend(now)
        complete = []
        while len(self._windows) > _HELD_WINDOWS:
            complete.append(self._windows.popleft())
            self._first_number += 1
        return complete

    def _extend(self, now: float) -> None:
        """Add windows up to the current one; start afresh after a pause."""
        missing = int(now / _WINDOW_SECONDS) - self._first_number
        missing -= len(self._windows) - 1
        if missing > 2 * _HELD_WINDOWS:
            self._windows.clear()
            self._first_number = int(now / _WINDOW_SECONDS)
            missing = 1
        for _ in range(missing):
            self._windows.append(CallCounts(runs_by_kind={}, calls_by_kind={}))
