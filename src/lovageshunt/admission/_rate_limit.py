"""A limit on the calls a second that are sent to one target."""

from typing import Final

#: How long unused calls are saved up, in seconds; at least one call is.
_BURST_SECONDS: Final = 0.5
#: A target that takes fewer calls gets this many a second all the same: only
#: its answers tell that the limit is over.
_MIN_PER_SECOND: Final = 0.5
#: Absorbs rounding, in calls.
_ROUNDING: Final = 1e-6


class RateLimit:
    """A token bucket of calls; without a limit everything may be sent.

    ``per_second`` is the number of calls that the target takes, ``None``
    without a limit. Times are in seconds on the caller's clock.
    """

    __slots__ = ('per_second', '_available', '_updated_at')

    def __init__(self) -> None:
        self.per_second: float | None = None
        self._available = float(1)
        self._updated_at = float(0)

    def change(self, per_second: float | None, now: float) -> None:
        """Put another limit into force, ``None`` for no limit."""
        if self.per_second is None:
            self._available = float(1)
        else:
            self._refill(now)
        self._updated_at = now
        self.per_second = per_second

    def take(self, now: float) -> bool:
        """Count a call that is sent now; return whether it may be sent."""
        if self.per_second is None:
            return True
        self._refill(now)
        if self._available < 1 - _ROUNDING:
            return False
        self._available -= 1
        return True

    def wait_seconds(self, calls: int, now: float) -> float:
        """Return the time until that many more calls may be sent."""
        if self.per_second is None:
            return 0
        self._refill(now)
        missing = calls - _ROUNDING - self._available
        return max(0, missing / _rate_of(self.per_second))

    def send_time(self, ahead: int, now: float) -> float:
        """Return when a call may be sent that is behind ``ahead`` others."""
        return now + self.wait_seconds(ahead + 1, now)

    def _refill(self, now: float) -> None:
        if self.per_second is None:
            return
        rate = _rate_of(self.per_second)
        gained = (now - self._updated_at) * rate
        most = max(1, rate * _BURST_SECONDS)
        self._available = min(most, self._available + gained)
        self._updated_at = now


def _rate_of(per_second: float) -> float:
    return max(per_second, _MIN_PER_SECOND)
