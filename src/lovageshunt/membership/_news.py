"""How long ago the platform is known to have answered."""

from typing import Final

_MS_PER_SECOND: Final = 1000
#: News that is later by less is not sent in answer.
_WORTH_TELLING_MS: Final = 1000
#: Stands for an age that is not known.
AGE_UNKNOWN: Final = -1


class PlatformNews:
    """The latest time at which any reader had an answer of the platform."""

    __slots__ = ('_answered_at',)

    def __init__(self) -> None:
        """Know of no answer."""
        self._answered_at: float | None = None

    def hear(self, answered_at: float) -> bool:
        """Take in when the platform answered; return whether it is later."""
        if self._answered_at is not None and answered_at <= self._answered_at:
            return False
        self._answered_at = answered_at
        return True

    def hear_age(self, age_ms: int, now: float) -> bool:
        """Take in what a peer told; return whether it is later."""
        if age_ms == AGE_UNKNOWN:
            return False
        return self.hear(now - age_ms / _MS_PER_SECOND)

    def is_later_than(self, age_ms: int, now: float) -> bool:
        """Return whether a peer would learn something from this node."""
        if self._answered_at is None:
            return False
        own_age_ms = self.age_ms(now)
        return age_ms == AGE_UNKNOWN or own_age_ms + _WORTH_TELLING_MS < age_ms

    def age_ms(self, now: float) -> int:
        """Return the age of the news, or ``AGE_UNKNOWN``."""
        if self._answered_at is None:
            return AGE_UNKNOWN
        age = max(0, now - self._answered_at)
        return int(age * _MS_PER_SECOND)
