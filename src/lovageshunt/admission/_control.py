"""The loop that closes a window of control after another."""

from typing import Final

from lovageshunt.admission._advice import advised_wait_ms
from lovageshunt.admission._limit import ConcurrencyLimit
from lovageshunt.admission._settings import AdmissionSettings
from lovageshunt.admission._threshold import ThresholdController

#: A gap of more windows than this between two events is a pause.
_PAUSE_WINDOWS: Final = 10
#: The share of busy slots below which the finished calls say too little.
_LEAST_BUSY_SHARE: Final = 0.3


class TargetControl:
    """Holds limit and threshold and moves both once in each window."""

    __slots__ = (
        '_settings',
        '_limit',
        '_levels',
        '_window_start',
        '_seen_until',
        '_paused_until',
        '_busy_seconds',
        '_completed',
        '_was_saturated',
    )

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        """Start calm."""
        self._settings = settings
        self._limit = ConcurrencyLimit(settings, now)
        self._levels = ThresholdController(settings)
        self._seen_until = now
        self._paused_until = now
        self._start_window(now)

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
        now: float,
        *,
        was_complete: bool,
        was_shed: bool,
    ) -> None:
        """Count a finished call.

        One that was aborted would have taken longer still, so it counts
        when it took longer than is typical. One that ran through a pause of
        this process tells nothing.
        """
        self._completed += 1
        if now - seconds < self._paused_until:
            return
        if was_complete or seconds > self.service_seconds:
            self._limit.record(seconds, now)
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
        seconds = min(
            self._settings.retry_after_seconds * self._levels.pressure,
            self._settings.most_retry_after_seconds,
        )
        return advised_wait_ms(seconds, level)

    def advance(self, now: float, *, running: int, waiting: int) -> None:
        """Take what ran until now and close the window if it is over."""
        gap = now - self._seen_until
        self._seen_until = now
        if gap > self._settings.window_seconds * _PAUSE_WINDOWS:
            self._forget(now)
            return
        self._busy_seconds += running * gap
        seconds = now - self._window_start
        if seconds < self._settings.window_seconds:
            return
        self._limit.close_window(now, was_saturated=self._was_saturated)
        self._levels.close_window(
            capacity=self._capacity(seconds),
            queue_seconds=self._queue_target(),
            waiting=waiting,
            seconds=seconds,
        )
        self._start_window(now)

    def _forget(self, now: float) -> None:
        """Learn nothing of a time in which the process was paused."""
        self._paused_until = now
        self._levels.skip_window()
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._busy_seconds = float(0)
        self._completed = 0
        self._was_saturated = False

    def _capacity(self, seconds: float) -> float:
        """Return the calls a second that all slots together would finish.

        What the busy slots finished tells it, whether or not all were busy.
        """
        busy_share = self._busy_seconds / (seconds * self.slots)
        if busy_share < _LEAST_BUSY_SHARE:
            return self.slots / self.service_seconds
        return self._completed / seconds / busy_share

    def _queue_target(self) -> float:
        most = self._settings.most_queue_target_seconds
        least = self._settings.queue_target_seconds
        return max(least, min(self.service_seconds, most))
