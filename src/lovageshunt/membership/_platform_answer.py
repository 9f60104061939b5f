"""The time of the last known answer of the platform."""

from typing import Final

_MS_PER_SECOND: Final = 1000
#: An answer that is more recent by less than this is not reported back.
_MIN_DIFFERENCE_MS: Final = 1000
#: Value of an age field if no answer is known.
AGE_UNKNOWN: Final = -1


class LastPlatformAnswer:
    """The latest time, in seconds, of a platform answer to any reader."""

    __slots__ = ('_answered_at',)

    def __init__(self) -> None:
        self._answered_at: float | None = None

    def record(self, answered_at: float) -> bool:
        """Record the time of an answer; return whether it is the latest."""
        if self._answered_at is not None and answered_at <= self._answered_at:
            return False
        self._answered_at = answered_at
        return True

    def record_age(self, age_ms: int, now: float) -> bool:
        """Record an age reported by a peer; return whether it is the latest."""
        if age_ms == AGE_UNKNOWN:
            return False
        return self.record(now - age_ms / _MS_PER_SECOND)

    def is_more_recent_than(self, age_ms: int, now: float) -> bool:
        """Return whether this answer is recent enough to report to a peer."""
        if self._answered_at is None:
            return False
        own_age_ms = self.age_ms(now)
        return age_ms == AGE_UNKNOWN or own_age_ms + _MIN_DIFFERENCE_MS < age_ms

    def age_ms(self, now: float) -> int:
        """Return the age of the answer, or ``AGE_UNKNOWN``."""
        if self._answered_at is None:
            return AGE_UNKNOWN
        age = max(0, now - self._answered_at)
        return int(age * _MS_PER_SECOND)
