"""Counts what short windows show: parts of runs done, and calls made."""

from collections import deque
from typing import Final

from lovageshunt.pressure._call_graph import FAILED_MARK, CallCounts

#: The length of a window, in seconds: shorter than most runs, so that a
#: window tells which of them were in progress as a call was made.
_WINDOW_SECONDS: Final = 0.05
#: A window is told after so many others, when the runs in it have ended.
_HELD_WINDOWS: Final = 18


class CallSampler:
    """Spreads each run over the windows in which it was in progress.

    A run counts for one in all, however long it took, so that calls a run
    stay the same when everything becomes slow.
    """

    __slots__ = ('_windows', '_first')

    def __init__(self, now: float) -> None:
        """Begin with no run."""
        self._first = int(now / _WINDOW_SECONDS)
        self._windows: deque[CallCounts] = deque()

    def ended(
        self,
        kind: str,
        started_at: float,
        now: float,
        *,
        is_good: bool,
    ) -> None:
        """Note a run that has left the target.

        One that failed made only some of its calls, so these runs are kept
        apart from the good ones of their kind.
        """
        if not is_good:
            kind = FAILED_MARK + kind
        seconds = max(now - started_at, _WINDOW_SECONDS / 10)
        self._extend(now)
        begin = max(started_at, self._first * _WINDOW_SECONDS)
        at = int(begin / _WINDOW_SECONDS)
        while begin < now:
            end = min(now, (at + 1) * _WINDOW_SECONDS)
            runs = self._windows[at - self._first].runs_by_kind
            part = (end - begin) / seconds
            runs[kind] = runs.get(kind, 0) + part
            begin = end
            at += 1

    def called(self, kind: str, now: float) -> None:
        """Note a call that the target made."""
        self._extend(now)
        calls = self._windows[-1].calls_by_kind
        calls[kind] = calls.get(kind, 0) + 1

    def take_windows(self, now: float) -> list[CallCounts]:
        """Return what the windows that are complete showed, each once."""
        self._extend(now)
        taken = []
        while len(self._windows) > _HELD_WINDOWS:
            taken.append(self._windows.popleft())
            self._first += 1
        return taken

    def _extend(self, now: float) -> None:
        """Add windows up to the present one; after a pause, begin anew."""
        missing = int(now / _WINDOW_SECONDS) - self._first
        missing -= len(self._windows) - 1
        if missing > 2 * _HELD_WINDOWS:
            self._windows.clear()
            self._first = int(now / _WINDOW_SECONDS)
            missing = 1
        for _ in range(missing):
            self._windows.append(CallCounts(runs_by_kind={}, calls_by_kind={}))
