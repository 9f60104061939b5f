"""A limit on how often something may happen, as a bucket of tokens."""

from typing import Final

#: Absorbs rounding, in tokens.
_ROUNDING: Final = 1e-6


class TokenBucket:
    """Gains ``per_second`` tokens a second, up to ``burst``.

    ``level`` is the number of tokens at the last update; it is below 0 if more
    were used than there were. ``used_per_second`` are taken all the while, by
    others. Times are in seconds on the caller's clock.
    """

    __slots__ = (
        'per_second',
        'burst',
        'level',
        'used_per_second',
        '_updated_at',
    )

    def __init__(
        self, *, per_second: float, burst: float, level: float, now: float
    ) -> None:
        self.per_second = per_second
        self.burst = burst
        self.level = level
        self.used_per_second = float(0)
        self._updated_at = now

    def change(self, *, per_second: float, burst: float, now: float) -> None:
        """Set another rate and burst; what is above the burst is lost."""
        self.advance(now)
        self.per_second = per_second
        self.burst = burst
        self.level = min(self.level, burst)

    def advance(self, now: float) -> None:
        """Update the level."""
        gained = (now - self._updated_at) * self.per_second
        used = (now - self._updated_at) * self.used_per_second
        self.level = min(self.burst, self.level + gained - used)
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        self.advance(now)
        if self.level < 1 - _ROUNDING:
            return False
        self.level -= 1
        return True

    def wait_seconds(self, tokens: int, now: float) -> float:
        """Return the time until there will be that many tokens."""
        self.advance(now)
        missing = tokens - _ROUNDING - self.level
        return max(0, missing / self.per_second)
