"""Counts what a window shows: runs in progress, and calls made."""

from typing import Final

from lovageshunt.pressure._call_graph import CallCounts

#: The length of a window, in seconds: shorter than a run, so that a window
#: tells which runs were in progress as a call was made.
_WINDOW_SECONDS: Final = 0.02


class CallWatch:
    """Adds up the time of the runs in progress and the calls, by kind."""

    __slots__ = (
        '_running_by_kind',
        '_seconds_by_kind',
        '_calls_by_kind',
        '_counted_at',
        '_window_start',
        '_closed',
    )

    def __init__(self, now: float) -> None:
        """Begin with no run."""
        self._running_by_kind: dict[str, int] = {}
        self._seconds_by_kind: dict[str, float] = {}
        self._calls_by_kind: dict[str, int] = {}
        self._counted_at = now
        self._window_start = now
        self._closed: list[CallCounts] = []

    def started(self, kind: str, now: float) -> None:
        """Note that a run was sent to the target."""
        self._advance(now)
        running = self._running_by_kind.get(kind, 0)
        self._running_by_kind[kind] = running + 1

    def ended(self, kind: str, now: float) -> None:
        """Note that a run has left the target."""
        self._advance(now)
        running = self._running_by_kind.get(kind, 0) - 1
        if running > 0:
            self._running_by_kind[kind] = running
        else:
            self._running_by_kind.pop(kind, None)

    def called(self, kind: str, now: float) -> None:
        """Note a call that the target made."""
        self._advance(now)
        self._calls_by_kind[kind] = self._calls_by_kind.get(kind, 0) + 1

    def take_windows(self, now: float) -> list[CallCounts]:
        """Return what the windows that are over showed, each once."""
        self._advance(now)
        closed = self._closed
        self._closed = []
        return closed

    def _advance(self, now: float) -> None:
        elapsed = now - self._counted_at
        self._counted_at = now
        for kind, running in self._running_by_kind.items():
            known = self._seconds_by_kind.get(kind, 0)
            self._seconds_by_kind[kind] = known + running * elapsed
        if now - self._window_start >= _WINDOW_SECONDS:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        counts = CallCounts(
            run_seconds_by_kind=self._seconds_by_kind,
            calls_by_kind=self._calls_by_kind,
        )
        self._closed.append(counts)
        self._seconds_by_kind = {}
        self._calls_by_kind = {}
        self._window_start = now
