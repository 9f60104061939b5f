"""The loop that closes a window of control after another."""

from typing import Final

from lovageshunt.admission._limit import ConcurrencyLimit
from lovageshunt.admission._settings import AdmissionSettings
from lovageshunt.admission._threshold import ThresholdController
from lovageshunt.calls import RANK_COUNT

_MS_PER_SECOND: Final = 1000
#: The least share of the advised wait; the rank adds up to 1.
_LEAST_SPREAD: Final = 0.5


class TargetControl:
    """Holds limit and threshold and moves both once in each window."""

    __slots__ = (
        '_settings',
        '_limit',
        '_levels',
        '_window_start',
        '_completed',
        '_was_saturated',
    )

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        """Start calm."""
        self._settings = settings
        self._limit = ConcurrencyLimit(settings)
        self._levels = ThresholdController(settings)
        self._window_start = now
        self._completed = 0
        self._was_saturated = False

    @property
    def threshold(self) -> int:
        """Return the threshold in force."""
        return self._levels.threshold

    @property
    def slots(self) -> int:
        """Return the limit on running calls."""
        return self._limit.slots

    @property
    def service_seconds(self) -> float:
        """Return a typical time of service."""
        return self._limit.service_seconds

    @property
    def window_ends_at(self) -> float:
        """Return when the window is due to close."""
        return self._window_start + self._settings.window_seconds

    def record_arrival(self, level: int) -> None:
        """Count an arrival."""
        self._levels.record(level)

    def record_saturation(self) -> None:
        """Note that a call had to wait for a slot."""
        self._was_saturated = True

    def record_finish(
        self,
        seconds: float,
        *,
        was_good: bool,
        was_shed: bool,
    ) -> None:
        """Count a finished call.

        One that was aborted would have taken longer still, so it counts
        when it took longer than is typical.
        """
        self._completed += 1
        if was_good or seconds > self.service_seconds:
            self._limit.record(seconds)
        if was_shed:
            self._limit.record_shed()

    def finish_time(self, now: float, *, running: int, ahead: int) -> float:
        """Return when a call with so many ahead of it would be finished."""
        free = self.slots - running
        before = max(0, ahead + 1 - free)
        wait = before * self.service_seconds / self.slots
        return now + wait + self.service_seconds

    def retry_after_ms(self, level: int) -> int:
        """Return when a refused call should come back, spread by its rank."""
        spread = _LEAST_SPREAD + level % RANK_COUNT / RANK_COUNT
        seconds = min(
            self._settings.retry_after_seconds * self._levels.pressure,
            self._settings.most_retry_after_seconds,
        )
        return max(1, int(seconds * spread * _MS_PER_SECOND))

    def advance(self, now: float, *, waiting: int) -> None:
        """Close the window if it is over."""
        seconds = now - self._window_start
        if seconds < self._settings.window_seconds:
            return
        self._limit.close_window()
        self._levels.close_window(
            capacity=self._capacity(seconds),
            queue_seconds=self._queue_target(),
            waiting=waiting,
            seconds=seconds,
        )
        self._window_start = now
        self._completed = 0
        self._was_saturated = False

    def _capacity(self, seconds: float) -> float:
        if self._was_saturated:
            return self._completed / seconds
        return self.slots / self.service_seconds

    def _queue_target(self) -> float:
        most = self._settings.most_queue_target_seconds
        least = self._settings.queue_target_seconds
        return max(least, min(self.service_seconds, most))
