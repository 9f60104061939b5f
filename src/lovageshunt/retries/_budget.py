"""A local retry budget: a fraction of recent successes."""

from typing import Final

from lovageshunt._record import Record

#: The half-life of what a success earned, in seconds.
_HALF_LIFE_SECONDS: Final = 10.0


class RetryBudgetSettings(Record):
    """Each success earns ``fraction`` retries, up to the cap ``reserve``.

    A budget starts with ``floor`` retries, which do not decay, so that a
    sender with little traffic may retry at all.
    """

    __slots__ = ('fraction', 'reserve', 'floor')

    def __init__(
        self,
        *,
        fraction: float = 0.1,
        reserve: float = 50,
        floor: float = 3,
    ) -> None:
        self.fraction = fraction
        self.reserve = reserve
        self.floor = floor


class RetryBudget:
    """A token bucket of retries earned by successes; unused tokens decay."""

    __slots__ = ('_settings', '_tokens', '_decayed_at')

    def __init__(self, settings: RetryBudgetSettings, now: float) -> None:
        self._settings = settings
        self._tokens = settings.floor
        self._decayed_at = now

    def succeeded(self, now: float) -> None:
        """Earn a fraction of a retry."""
        self._decay(now)
        earned = self._tokens + self._settings.fraction
        self._tokens = min(self._settings.reserve, earned)

    def may_spend(self, now: float) -> bool:
        """Return whether at least one retry is available."""
        self._decay(now)
        return self._tokens >= 1

    def spend(self, now: float) -> bool:
        """Spend one retry or hedge; return whether one was available."""
        if not self.may_spend(now):
            return False
        self._tokens -= 1
        return True

    def _decay(self, now: float) -> None:
        elapsed = max(0, now - self._decayed_at)
        self._decayed_at = now
        above = self._tokens - self._settings.floor
        if above <= 0:
            return
        left = 0.5 ** (elapsed / _HALF_LIFE_SECONDS)
        self._tokens = self._settings.floor + above * left
