"""The threshold over levels, steered by queue time and demand."""

from typing import Final

from lovageshunt.admission._levels import OPEN_THRESHOLD
from lovageshunt.admission._settings import AdmissionSettings
from lovageshunt.calls import LOWEST_IMPORTANCE, RANK_COUNT

#: Weight of one window in the demand and in the capacity.
_WEIGHT: Final = 0.3
#: How much demand unseen callers are believed to keep, window by window.
_UNSEEN_DECAY: Final = 0.98
#: The least visible share of an importance that is scaled up to the whole.
_LEAST_VISIBLE: Final = 0.05
#: The largest rise of the threshold in one window, in levels.
_RISE: Final = RANK_COUNT // 4
#: Windows in which a queue that is off its target is brought back to it.
_CORRECTION_WINDOWS: Final = 3
#: Importances in the order of refusal, the last refused first.
_IMPORTANCES: Final = range(LOWEST_IMPORTANCE + 1)


class DemandMeter:
    """Estimates the calls a second that each importance would send.

    Ranks are hashes and so spread evenly; when callers hold calls back by
    the threshold, the ranks still seen tell of the ranks unseen.
    """

    __slots__ = ('_below', '_all', 'by_importance')

    def __init__(self) -> None:
        """Start with no demand."""
        self._below = dict.fromkeys(_IMPORTANCES, 0)
        self._all = dict.fromkeys(_IMPORTANCES, 0)
        self.by_importance: dict[int, float] = dict.fromkeys(
            _IMPORTANCES,
            0,
        )

    def record(self, level: int, threshold: int) -> None:
        """Count an arrival."""
        importance = min(level // RANK_COUNT, LOWEST_IMPORTANCE)
        self._all[importance] += 1
        if level < threshold:
            self._below[importance] += 1

    def close_window(self, threshold: int, seconds: float) -> None:
        """Turn the counts of a window into rates."""
        for importance in _IMPORTANCES:
            visible = _share_below(importance, threshold)
            self._update(importance, visible, seconds)
        self._below = dict.fromkeys(_IMPORTANCES, 0)
        self._all = dict.fromkeys(_IMPORTANCES, 0)

    @property
    def total(self) -> float:
        """Return the calls a second of all importances."""
        return sum(self.by_importance.values())

    def _update(self, importance: int, visible: float, seconds: float) -> None:
        known = self.by_importance[importance]
        seen = float(self._all[importance])
        if visible >= _LEAST_VISIBLE:
            seen = max(seen, self._below[importance] / visible)
        rate = seen / seconds
        if visible < _LEAST_VISIBLE and rate < known:
            self.by_importance[importance] = known * _UNSEEN_DECAY
            return
        self.by_importance[importance] = known + _WEIGHT * (rate - known)


class ThresholdController:
    """Finds the threshold under which demand meets capacity."""

    __slots__ = ('_settings', '_demand', '_capacity', 'threshold')

    def __init__(self, settings: AdmissionSettings) -> None:
        """Start open."""
        self._settings = settings
        self._demand = DemandMeter()
        self._capacity = settings.slots / settings.service_seconds
        self.threshold = OPEN_THRESHOLD

    @property
    def pressure(self) -> float:
        """Return demand over capacity, at least 1."""
        return max(1, self._demand.total / max(1, self._capacity))

    def record(self, level: int) -> None:
        """Count an arrival."""
        self._demand.record(level, self.threshold)

    def close_window(
        self,
        *,
        capacity: float,
        waiting: int,
        seconds: float,
    ) -> None:
        """Move the threshold by what a window showed.

        ``capacity`` is in calls a second, ``waiting`` counts the queue.
        """
        self._capacity += _WEIGHT * (capacity - self._capacity)
        self._demand.close_window(self.threshold, seconds)
        wanted = self._capacity * self._settings.queue_target_seconds
        horizon = seconds * _CORRECTION_WINDOWS
        room = self._capacity + (wanted - waiting) / horizon
        found = self._threshold_for(room)
        self.threshold = min(found, self.threshold + _RISE, OPEN_THRESHOLD)

    def _threshold_for(self, room: float) -> int:
        for importance in _IMPORTANCES:
            rate = self._demand.by_importance[importance]
            if rate > room:
                share = max(0, room) / rate
                return int((importance + share) * RANK_COUNT)
            room -= rate
        return OPEN_THRESHOLD


def _share_below(importance: int, threshold: int) -> float:
    ranks = threshold - importance * RANK_COUNT
    return min(max(ranks / RANK_COUNT, 0), 1)
