"""The threshold over levels, steered by queue time and demand."""

from typing import Final

from lovageshunt.admission._levels import OPEN_THRESHOLD, is_refused
from lovageshunt.admission._settings import AdmissionSettings
from lovageshunt.calls import LOWEST_IMPORTANCE, RANK_COUNT

#: How far a window's count may stray by chance, in standard deviations.
_SURPRISE: Final = 3
#: Weight of a window that is no surprise, and of one that is.
_CALM_WEIGHT: Final = 0.1
_SURPRISE_WEIGHT: Final = 0.5
#: The least visible share of an importance whose counts may surprise.
_LEAST_VISIBLE: Final = 0.05
#: The largest rise of admitted demand in one window, as a share of capacity.
_RISE: Final = 0.1
#: Windows in which a queue that is off its target is brought back to it.
_CORRECTION_WINDOWS: Final = 3
#: Importances in the order of refusal, the last refused first.
_IMPORTANCES: Final = range(LOWEST_IMPORTANCE + 1)


class DemandMeter:
    """Estimates the calls a second that each importance would send.

    Ranks are hashes and so spread evenly; when callers hold calls back by
    the threshold, the ranks still seen tell of the ranks unseen. At the
    least these are the ranks of the floor.
    """

    __slots__ = ('_floor_ranks', '_passing', '_all', 'by_importance')

    def __init__(self, floor_ranks: int) -> None:
        """Start with no demand."""
        self._floor_ranks = floor_ranks
        self._passing = dict.fromkeys(_IMPORTANCES, 0)
        self._all = dict.fromkeys(_IMPORTANCES, 0)
        self.by_importance: dict[int, float] = dict.fromkeys(_IMPORTANCES, 0)

    def record(self, level: int, threshold: int) -> None:
        """Count an arrival."""
        importance = min(level // RANK_COUNT, LOWEST_IMPORTANCE)
        self._all[importance] += 1
        if not is_refused(level, threshold, self._floor_ranks):
            self._passing[importance] += 1

    def close_window(self, threshold: int, seconds: float) -> None:
        """Turn the counts of a window into rates."""
        for importance in _IMPORTANCES:
            visible = max(
                _share_below(importance, threshold),
                self._floor_ranks / RANK_COUNT,
            )
            self._update(importance, visible, seconds)
        self.skip_window()

    def skip_window(self) -> None:
        """Forget the counts of a window."""
        self._passing = dict.fromkeys(_IMPORTANCES, 0)
        self._all = dict.fromkeys(_IMPORTANCES, 0)

    @property
    def total(self) -> float:
        """Return the calls a second of all importances."""
        return sum(self.by_importance.values())

    def below(self, threshold: int) -> float:
        """Return the calls a second that a threshold lets through."""
        return sum(
            rate * _share_below(importance, threshold)
            for importance, rate in self.by_importance.items()
        )

    def _update(self, importance: int, visible: float, seconds: float) -> None:
        calls = float(self._all[importance])
        if visible > 0:
            calls = max(calls, self._passing[importance] / visible)
        self.by_importance[importance] = _smoothed(
            self.by_importance[importance],
            calls / seconds,
            seconds=seconds,
            visible=visible,
        )


class ThresholdController:
    """Finds the threshold under which demand meets capacity."""

    __slots__ = ('_settings', '_demand', '_capacity', 'threshold')

    def __init__(self, settings: AdmissionSettings) -> None:
        """Start open."""
        self._settings = settings
        self._demand = DemandMeter(settings.floor_ranks)
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
        queue_seconds: float,
        waiting: int,
        seconds: float,
    ) -> None:
        """Move the threshold by what a window showed.

        ``capacity`` is in calls a second, ``queue_seconds`` the queue time
        aimed at, ``waiting`` counts the queue.
        """
        self._capacity = _smoothed(self._capacity, capacity, seconds=seconds)
        self._demand.close_window(self.threshold, seconds)
        wanted = self._capacity * queue_seconds
        horizon = seconds * _CORRECTION_WINDOWS
        room = self._capacity + (wanted - waiting) / horizon
        passing = self._demand.below(self.threshold)
        self.threshold = self._threshold_for(
            min(room, passing + self._capacity * _RISE),
        )

    def skip_window(self) -> None:
        """Learn nothing from a window."""
        self._demand.skip_window()

    def _threshold_for(self, room: float) -> int:
        for importance in _IMPORTANCES:
            rate = self._demand.by_importance[importance]
            if rate > max(0, room):
                share = max(0, room) / rate
                return int((importance + share) * RANK_COUNT)
            room -= rate
        return OPEN_THRESHOLD


def _share_below(importance: int, threshold: int) -> float:
    ranks = threshold - importance * RANK_COUNT
    return min(max(ranks / RANK_COUNT, 0), 1)


def _smoothed(
    known: float,
    rate: float,
    *,
    seconds: float,
    visible: float = 1,
) -> float:
    """Return the new estimate of a rate after a window.

    Chance moves it little and a surprise much; where only few ranks are
    visible, a window says little.
    """
    spread = (known / seconds / max(visible, _LEAST_VISIBLE)) ** 0.5
    weight = _CALM_WEIGHT * visible
    if visible >= _LEAST_VISIBLE and abs(rate - known) > _SURPRISE * spread:
        weight = _SURPRISE_WEIGHT
    return known + weight * (rate - known)
