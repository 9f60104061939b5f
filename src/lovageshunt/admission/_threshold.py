"""The threshold over levels, controlled by queue time and demand."""

from typing import Final

from lovageshunt.admission._levels import OPEN_THRESHOLD, is_refused
from lovageshunt.admission._settings import AdmissionSettings
from lovageshunt.calls import LOWEST_IMPORTANCE, RANK_COUNT

#: Standard deviations by which a window's rate may differ from the estimate
#: by chance; beyond them it is an outlier.
_OUTLIER_DEVIATIONS: Final = 3
#: Weight of a window in the estimate, and that of an outlier.
_NORMAL_WEIGHT: Final = 0.1
_OUTLIER_WEIGHT: Final = 0.5
#: The visible share of an importance below which no window is an outlier.
_MIN_VISIBLE_SHARE: Final = 0.05
#: The largest rise of admitted demand in one window, as a share of capacity.
_MAX_RISE_SHARE: Final = 0.1
#: Windows in which a queue that is off its target is brought back to it.
_CORRECTION_WINDOWS: Final = 3
#: From the importance that is refused last to the one refused first.
_IMPORTANCES: Final = range(LOWEST_IMPORTANCE + 1)


class ImportanceDemand:
    """Estimates the demand of each importance, in calls per second.

    Ranks are hashes and therefore evenly distributed: when callers hold calls
    back by the threshold, the demand of the ranks not seen follows from that
    of the ranks still seen, which are at least those of the floor.
    """

    __slots__ = (
        '_floor_ranks',
        '_admitted_counts',
        '_arrival_counts',
        'by_importance',
    )

    def __init__(self, floor_ranks: int) -> None:
        self._floor_ranks = floor_ranks
        self._admitted_counts = dict.fromkeys(_IMPORTANCES, 0)
        self._arrival_counts = dict.fromkeys(_IMPORTANCES, 0)
        self.by_importance: dict[int, float] = dict.fromkeys(_IMPORTANCES, 0)

    def record(self, level: int, threshold: int) -> None:
        """Count an arrival while ``threshold`` is in force."""
        importance = min(level // RANK_COUNT, LOWEST_IMPORTANCE)
        self._arrival_counts[importance] += 1
        if not is_refused(level, threshold, self._floor_ranks):
            self._admitted_counts[importance] += 1

    def close_window(self, threshold: int, seconds: float) -> None:
        """Update the rates from the counts of a window and reset these."""
        for importance in _IMPORTANCES:
            visible = max(
                _share_below(importance, threshold),
                self._floor_ranks / RANK_COUNT,
            )
            self._update(importance, visible, seconds)
        self.skip_window()

    def skip_window(self) -> None:
        """Reset the counts of a window without using them."""
        self._admitted_counts = dict.fromkeys(_IMPORTANCES, 0)
        self._arrival_counts = dict.fromkeys(_IMPORTANCES, 0)

    @property
    def total(self) -> float:
        """Return the demand of all importances in calls per second."""
        return sum(self.by_importance.values())

    def below(self, threshold: int) -> float:
        """Return the demand below a threshold in calls per second."""
        return sum(
            rate * _share_below(importance, threshold)
            for importance, rate in self.by_importance.items()
        )

    def _update(self, importance: int, visible: float, seconds: float) -> None:
        calls = float(self._arrival_counts[importance])
        if visible > 0:
            calls = max(calls, self._admitted_counts[importance] / visible)
        self.by_importance[importance] = _smoothed(
            self.by_importance[importance],
            calls / seconds,
            seconds=seconds,
            visible=visible,
        )


class ThresholdController:
    """Finds the threshold at which admitted demand meets capacity.

    ``threshold`` is the one in force; it starts open.
    """

    __slots__ = ('_settings', '_demand', '_capacity', 'threshold')

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._demand = ImportanceDemand(settings.floor_ranks)
        self._capacity = settings.slots / settings.service_seconds
        self.threshold = OPEN_THRESHOLD

    @property
    def pressure(self) -> float:
        """Return the ratio of demand to capacity, at least 1."""
        return max(1, self._demand.total / max(1, self._capacity))

    def record(self, level: int) -> None:
        """Count an arrival towards the demand of its importance."""
        self._demand.record(level, self.threshold)

    def close_window(
        self,
        *,
        capacity: float,
        queue_seconds: float,
        waiting: int,
        seconds: float,
    ) -> None:
        """Update the threshold at the end of a window of ``seconds``.

        ``capacity`` is in calls per second, ``queue_seconds`` is the target
        queue time, ``waiting`` the number of queued calls.
        """
        self._capacity = _smoothed(self._capacity, capacity, seconds=seconds)
        self._demand.close_window(self.threshold, seconds)
        target_waiting = self._capacity * queue_seconds
        horizon = seconds * _CORRECTION_WINDOWS
        admissible = self._capacity + (target_waiting - waiting) / horizon
        admitted = self._demand.below(self.threshold)
        self.threshold = self._threshold_for(
            min(admissible, admitted + self._capacity * _MAX_RISE_SHARE),
        )

    def skip_window(self) -> None:
        """Discard the counts of a window."""
        self._demand.skip_window()

    def _threshold_for(self, admissible: float) -> int:
        for importance in _IMPORTANCES:
            rate = self._demand.by_importance[importance]
            if rate > max(0, admissible):
                share = max(0, admissible) / rate
                return int((importance + share) * RANK_COUNT)
            admissible -= rate
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
    """Return the new estimate of a rate after a window of ``seconds``.

    An outlier gets more weight than a difference that chance explains; with
    few ranks visible a window gets less weight.
    """
    deviation = (known / seconds / max(visible, _MIN_VISIBLE_SHARE)) ** 0.5
    weight = _NORMAL_WEIGHT * visible
    if (
        visible >= _MIN_VISIBLE_SHARE
        and abs(rate - known) > _OUTLIER_DEVIATIONS * deviation
    ):
        weight = _OUTLIER_WEIGHT
    return known + weight * (rate - known)
