"""The demand on a target, and the share of it that there is capacity for."""

from typing import Final

from lovageshunt._record import Record

#: Weight of one run in the moving average of its kind's duration.
_DURATION_WEIGHT: Final = 0.05
#: The duration assumed for a kind before its first run, in seconds.
_DEFAULT_SECONDS: Final = 0.02
#: The lowest share that is reported. The first hop computes from the fleet's
#: requests what there is capacity for; the share only corrects its errors.
_MIN_SHARE: Final = 0.02


#: Weight of a window in the smoothed utilization that controls the share:
#: bursts of calls last many windows.
_USE_WEIGHT: Final = 0.35


class DemandSettings(Record):
    """How the share is controlled.

    In each window of ``window_seconds`` the requested work is compared with
    the fraction ``target_use`` of the slots. Queued calls count as if they
    were to be run within ``backlog_seconds``. ``gain`` is the exponent with
    which one window corrects a deviation (1 corrects all of it), ``max_rise``
    and ``max_fall`` are the extreme factors by which the share changes in a
    window.
    """

    __slots__ = (
        'window_seconds',
        'target_use',
        'backlog_seconds',
        'gain',
        'max_rise',
        'max_fall',
    )

    def __init__(
        self,
        *,
        window_seconds: float = 0.25,
        target_use: float = 1.0,
        backlog_seconds: float = 0.5,
        gain: float = 0.15,
        max_rise: float = 1.25,
        max_fall: float = 0.8,
    ) -> None:
        self.window_seconds = window_seconds
        self.target_use = target_use
        self.backlog_seconds = backlog_seconds
        self.gain = gain
        self.max_rise = max_rise
        self.max_fall = max_fall


class TargetDemandMeter:
    """Measures the demand on one target and controls the share.

    ``share`` is the share of its demand that the target has capacity for;
    ``use`` is the smoothed ratio of requested work to slots.
    """

    __slots__ = (
        '_settings',
        '_seconds_by_kind',
        '_provisional_kinds',
        '_requested_slot_seconds',
        '_window_start',
        'share',
        'use',
    )

    def __init__(self, settings: DemandSettings, now: float) -> None:
        self._settings = settings
        self._seconds_by_kind: dict[str, float] = {}
        self._provisional_kinds: set[str] = set()
        self._requested_slot_seconds = float(0)
        self._window_start = now
        self.share = float(1)
        self.use = float(0)

    @property
    def seconds_by_kind(self) -> dict[str, float]:
        """Return the mean time in seconds that a run holds a slot, by kind."""
        return self._seconds_by_kind

    def asked(self, kind: str) -> None:
        """Add the expected work of a requested call, run or refused."""
        self._requested_slot_seconds += self._seconds_by_kind.get(
            kind, _DEFAULT_SECONDS
        )

    def ran(self, kind: str, seconds: float) -> None:
        """Record for how long a good run held its slot."""
        known = self._seconds_by_kind.get(kind)
        if known is None or kind in self._provisional_kinds:
            self._seconds_by_kind[kind] = seconds
            self._provisional_kinds.discard(kind)
            return
        change = _DURATION_WEIGHT * (seconds - known)
        self._seconds_by_kind[kind] = known + change

    def failed(self, kind: str, seconds: float) -> None:
        """Record a failed run's duration if its kind has no other yet.

        The first good run of the kind replaces it.
        """
        if kind not in self._seconds_by_kind:
            self._seconds_by_kind[kind] = seconds
            self._provisional_kinds.add(kind)

    def advance(
        self,
        now: float,
        *,
        slots: int,
        backlog_slot_seconds: float,
    ) -> bool:
        """Close the window if it is over; return whether it was evaluated."""
        settings = self._settings
        seconds = now - self._window_start
        if seconds < settings.window_seconds:
            return False
        work = self._requested_slot_seconds / seconds
        work += backlog_slot_seconds / settings.backlog_seconds
        use = work / max(1, slots)
        self.use += _USE_WEIGHT * (use - self.use)
        self._requested_slot_seconds = 0
        self._window_start = now
        if seconds > settings.window_seconds * 4:
            # The process was paused, so the window is not representative.
            return False
        self._adjust_share(self.use / settings.target_use)
        return True

    def _adjust_share(self, relative_use: float) -> None:
        settings = self._settings
        factor = settings.max_rise
        if relative_use > 0:
            factor = min(factor, relative_use ** (-settings.gain))
        factor = max(factor, settings.max_fall)
        self.share = min(1, max(_MIN_SHARE, self.share * factor))
