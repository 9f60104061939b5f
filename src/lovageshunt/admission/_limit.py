"""The limit on calls that run in a target at once."""

from typing import Final

from lovageshunt.admission._settings import AdmissionSettings

#: Weight of one call in the mean service time.
_SERVICE_WEIGHT: Final = 0.05
#: Share of bad answers in a window above which the limit falls.
_BAD_SHARE: Final = 0.3
#: Calls below which a window says nothing.
_FEWEST_CALLS: Final = 10
#: The limit's factor after a window of bad answers.
_BACKOFF: Final = 0.9
#: The step back towards the published slots after a good window.
_STEP: Final = 0.02


class ConcurrencyLimit:
    """Follows the target's true room, starting from the published slots."""

    __slots__ = ('_settings', '_limit', '_good', '_bad', 'service_seconds')

    def __init__(self, settings: AdmissionSettings) -> None:
        """Start at the published slots."""
        self._settings = settings
        self._limit = float(settings.slots)
        self._good = 0
        self._bad = 0
        self.service_seconds = settings.service_seconds

    @property
    def slots(self) -> int:
        """Return the number of calls that may run now."""
        return max(1, int(self._limit))

    def record(self, seconds: float) -> None:
        """Note the time of one call in the target."""
        self._good += 1
        error = seconds - self.service_seconds
        self.service_seconds += _SERVICE_WEIGHT * error

    def record_shed(self) -> None:
        """Note that the target itself refused a call for its load."""
        self._bad += 1

    def close_window(self) -> None:
        """Move the limit by what the window showed."""
        calls = self._good + self._bad
        if calls >= _FEWEST_CALLS:
            self._move(self._bad / calls)
            self._good = 0
            self._bad = 0

    def _move(self, bad_share: float) -> None:
        slots = self._settings.slots
        if bad_share > _BAD_SHARE:
            floor = slots * self._settings.least_share
            self._limit = max(floor, self._limit * _BACKOFF)
            return
        self._limit = min(slots, self._limit + slots * _STEP)
