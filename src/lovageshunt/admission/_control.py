"""The control loop that updates limit and threshold once a window."""

from typing import Final

from lovageshunt.admission._limit import ConcurrencyLimit
from lovageshunt.admission._retry_after import spread_retry_after_ms
from lovageshunt.admission._settings import AdmissionSettings
from lovageshunt.admission._threshold import ThresholdController

#: A gap between two events that is longer than this many windows means that
#: the process was paused.
_PAUSE_WINDOWS: Final = 10
#: The share of busy slots below which too few calls finish to estimate the
#: capacity from them.
_MIN_BUSY_SHARE: Final = 0.3


class TargetControl:
    """The concurrency limit and the threshold of one target.

    Both change at most once in each window.
    """

    __slots__ = (
        '_settings',
        '_limit',
        '_threshold',
        '_window_start',
        '_advanced_at',
        '_paused_until',
        '_busy_seconds',
        '_completed',
        '_was_saturated',
    )

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        self._settings = settings
        self._limit = ConcurrencyLimit(settings, now)
        self._threshold = ThresholdController(settings)
        self._advanced_at = now
        self._paused_until = now
        self._start_window(now)

    @property
    def threshold(self) -> int:
        """Return the threshold in force; levels from it on are refused."""
        return self._threshold.threshold

    @property
    def slots(self) -> int:
        """Return the limit on running calls."""
        return self._limit.slots

    @property
    def service_seconds(self) -> float:
        """Return the smoothed service time of a call."""
        return self._limit.service_seconds

    @property
    def window_ends_at(self) -> float:
        """Return when the current window is due to close."""
        return self._window_start + self._settings.window_seconds

    def record_arrival(self, level: int) -> None:
        """Count an arrival towards the demand of its level."""
        self._threshold.record(level)

    def record_saturation(self) -> None:
        """Record that a call had to wait for a slot in this window."""
        self._was_saturated = True

    def record_finish(
        self,
        seconds: float,
        now: float,
        *,
        was_complete: bool,
        was_shed: bool,
    ) -> None:
        """Count a finished call and its duration in the target.

        An incomplete or aborted call would have taken longer still, so its
        duration counts only if it is above the service time. The duration of
        a call that ran through a pause of this process is ignored.
        """
        self._completed += 1
        if now - seconds < self._paused_until:
            return
        if was_complete or seconds > self.service_seconds:
            self._limit.record(seconds, now)
        if was_shed:
            self._limit.record_shed()

    def estimated_finish(
        self, now: float, *, running: int, ahead: int
    ) -> float:
        """Return when a call with ``ahead`` calls before it would finish."""
        free = self.slots - running
        before = max(0, ahead + 1 - free)
        wait = before * self.service_seconds / self.slots
        return now + wait + self.service_seconds

    def retry_after_ms(self, level: int) -> int:
        """Return the retry delay of a refused call, spread by its rank."""
        seconds = min(
            self._settings.retry_after_seconds * self._threshold.pressure,
            self._settings.max_retry_after_seconds,
        )
        return spread_retry_after_ms(seconds, level)

    def advance(self, now: float, *, running: int, waiting: int) -> None:
        """Account for the time since the last event; close a due window.

        ``running`` and ``waiting`` are the counts since that event.
        """
        gap = now - self._advanced_at
        self._advanced_at = now
        if gap > self._settings.window_seconds * _PAUSE_WINDOWS:
            self._skip_pause(now)
            return
        self._busy_seconds += running * gap
        seconds = now - self._window_start
        if seconds < self._settings.window_seconds:
            return
        self._limit.close_window(now, was_saturated=self._was_saturated)
        self._threshold.close_window(
            capacity=self._capacity(seconds),
            queue_seconds=self._queue_target(),
            waiting=waiting,
            seconds=seconds,
        )
        self._start_window(now)

    def _skip_pause(self, now: float) -> None:
        """Discard the window in which the process was paused."""
        self._paused_until = now
        self._threshold.skip_window()
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._busy_seconds = float(0)
        self._completed = 0
        self._was_saturated = False

    def _capacity(self, seconds: float) -> float:
        """Return the calls per second that all slots together would finish.

        Extrapolated from what the busy slots finished, unless too few were
        busy.
        """
        busy_share = self._busy_seconds / (seconds * self.slots)
        if busy_share < _MIN_BUSY_SHARE:
            return self.slots / self.service_seconds
        return self._completed / seconds / busy_share

    def _queue_target(self) -> float:
        longest = self._settings.max_queue_target_seconds
        shortest = self._settings.queue_target_seconds
        return max(shortest, min(self.service_seconds, longest))
