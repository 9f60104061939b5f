"""One timer for the earliest of several times."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable

from lovageshunt.clock import now as clock_now


class Wakeup:
    """Calls back once at the earliest of the times that were asked for."""

    __slots__ = ('_callback', '_timer', '_due')

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._timer: TimerHandle | None = None
        self._due = float(0)

    def call_by(self, due: float) -> None:
        """Call back at ``due``, in seconds on the clock, or earlier."""
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._due = due
        delay = max(0, due - clock_now())
        self._timer = get_running_loop().call_later(delay, self._on_due)

    def _on_due(self) -> None:
        self._timer = None
        self._callback()
