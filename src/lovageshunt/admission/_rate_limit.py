"""A limit on the calls a second that are sent to one target."""

from typing import Final

from lovageshunt._token_bucket import TokenBucket

#: How long unused calls are saved up, in seconds; at least one call is.
_BURST_SECONDS: Final = 0.5
#: A target that takes fewer calls gets this many a second all the same: only
#: its answers tell that the limit is over.
_MIN_PER_SECOND: Final = 0.5


class RateLimit:
    """Limits the calls to a target; without a limit everything may be sent.

    ``per_second`` is the number of calls that the target takes, ``None``
    without a limit. Times are in seconds on the caller's clock.
    """

    __slots__ = ('per_second', '_bucket')

    def __init__(self) -> None:
        self.per_second: float | None = None
        self._bucket: TokenBucket | None = None

    def change(self, per_second: float | None, now: float) -> None:
        """Put another limit into force, ``None`` for no limit."""
        self.per_second = per_second
        if per_second is None:
            self._bucket = None
            return
        rate = max(per_second, _MIN_PER_SECOND)
        burst = max(1, rate * _BURST_SECONDS)
        if self._bucket is None:
            self._bucket = TokenBucket(
                per_second=rate, burst=burst, level=1, now=now
            )
        else:
            self._bucket.change(per_second=rate, burst=burst, now=now)

    def take(self, now: float) -> bool:
        """Count a call that is sent now; return whether it may be sent."""
        return self._bucket is None or self._bucket.take(now)

    def wait_seconds(self, calls: int, now: float) -> float:
        """Return the time until that many more calls may be sent."""
        if self._bucket is None:
            return 0
        return self._bucket.wait_seconds(calls, now)

    def send_time(self, ahead: int, now: float) -> float:
        """Return when a call may be sent that is behind ``ahead`` others."""
        return now + self.wait_seconds(ahead + 1, now)
