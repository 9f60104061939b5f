"""A local bound on retries: a fraction of recent successes."""

from typing import Final

from lovageshunt._record import Record

#: After so many seconds a success counts half.
_HALF_LIFE_SECONDS: Final = 10.0


class RetryBudgetSettings(Record):
    """``fraction`` retries are earned by a success; ``reserve`` is the cap.

    ``floor`` retries are there at the start, so that a caller with little
    traffic may retry at all.
    """

    __slots__ = ('fraction', 'reserve', 'floor')

    def __init__(
        self,
        *,
        fraction: float = 0.1,
        reserve: float = 50,
        floor: float = 3,
    ) -> None:
        """Take the three numbers."""
        self.fraction = fraction
        self.reserve = reserve
        self.floor = floor


class RetryBudget:
    """Retries earned by successes; what is not used fades."""

    __slots__ = ('_settings', '_tokens', '_counted_at')

    def __init__(self, settings: RetryBudgetSettings, now: float) -> None:
        """Begin with the floor."""
        self._settings = settings
        self._tokens = settings.floor
        self._counted_at = now

    def succeeded(self, now: float) -> None:
        """Earn a fraction of a retry."""
        self._fade(now)
        earned = self._tokens + self._settings.fraction
        self._tokens = min(self._settings.reserve, earned)

    def may_spend(self, now: float) -> bool:
        """Return whether a whole retry is there."""
        self._fade(now)
        return self._tokens >= 1

    def spend(self, now: float) -> bool:
        """Spend one retry or hedge; return whether there was one."""
        if not self.may_spend(now):
            return False
        self._tokens -= 1
        return True

    def _fade(self, now: float) -> None:
        elapsed = max(0, now - self._counted_at)
        self._counted_at = now
        above = self._tokens - self._settings.floor
        if above <= 0:
            return
        left = 0.5 ** (elapsed / _HALF_LIFE_SECONDS)
        self._tokens = self._settings.floor + above * left
