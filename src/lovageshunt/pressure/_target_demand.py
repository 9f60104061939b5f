"""What is asked of a target, and the share of it that there is room for."""

from typing import Final

from lovageshunt._record import Record

#: Weight of one run in the mean time of its kind.
_TIME_WEIGHT: Final = 0.05
#: The time assumed of a kind before its first run, in seconds.
_FIRST_SECONDS: Final = 0.02
#: The least share that is told. The first hop works out from the fleet's
#: requests what there is room for; this corrects what it takes wrong.
_LEAST_SHARE: Final = 0.02


#: Weight of a window in the use that steers the share: calls come in bursts
#: of many windows' length.
_USE_WEIGHT: Final = 0.35


class DemandSettings(Record):
    """How the share is steered.

    In each window of ``window_seconds`` the work asked for is compared with
    ``target_use`` of the slots. Calls that wait count as if they were to be
    worked off in ``backlog_seconds``. ``gain`` is the part of a difference
    that one window corrects, ``most_rise`` and ``most_fall`` the factors
    by which the share moves at most.
    """

    __slots__ = (
        'window_seconds',
        'target_use',
        'backlog_seconds',
        'gain',
        'most_rise',
        'most_fall',
    )

    def __init__(
        self,
        *,
        window_seconds: float = 0.25,
        target_use: float = 1.0,
        backlog_seconds: float = 0.5,
        gain: float = 0.15,
        most_rise: float = 1.25,
        most_fall: float = 0.8,
    ) -> None:
        """Take every setting by name; all have defaults."""
        self.window_seconds = window_seconds
        self.target_use = target_use
        self.backlog_seconds = backlog_seconds
        self.gain = gain
        self.most_rise = most_rise
        self.most_fall = most_fall


class TargetDemandMeter:
    """Measures the work asked of one target and steers the share."""

    __slots__ = (
        '_settings',
        '_seconds_by_kind',
        '_guessed',
        '_asked',
        '_window_start',
        'share',
        'use',
    )

    def __init__(self, settings: DemandSettings, now: float) -> None:
        """Begin with room for everything."""
        self._settings = settings
        self._seconds_by_kind: dict[str, float] = {}
        self._guessed: set[str] = set()
        self._asked = float(0)
        self._window_start = now
        #: The share of its demand that the target has room for.
        self.share = float(1)
        #: The work asked for over the slots, in the last windows.
        self.use = float(0)

    @property
    def seconds_by_kind(self) -> dict[str, float]:
        """Return the mean time that a run of each kind holds a slot."""
        return self._seconds_by_kind

    def asked(self, kind: str) -> None:
        """Count a call that was asked for, run or refused."""
        self._asked += self._seconds_by_kind.get(kind, _FIRST_SECONDS)

    def ran(self, kind: str, seconds: float) -> None:
        """Take how long a good run held its slot."""
        known = self._seconds_by_kind.get(kind)
        if known is None or kind in self._guessed:
            self._seconds_by_kind[kind] = seconds
            self._guessed.discard(kind)
            return
        change = _TIME_WEIGHT * (seconds - known)
        self._seconds_by_kind[kind] = known + change

    def failed(self, kind: str, seconds: float) -> None:
        """Take how long a failed run held its slot, until a good one did."""
        if kind not in self._seconds_by_kind:
            self._seconds_by_kind[kind] = seconds
            self._guessed.add(kind)

    def advance(
        self,
        now: float,
        *,
        slots: int,
        backlog_slot_seconds: float,
    ) -> bool:
        """Close a window that is over; tell whether one was."""
        settings = self._settings
        seconds = now - self._window_start
        if seconds < settings.window_seconds:
            return False
        work = self._asked / seconds
        work += backlog_slot_seconds / settings.backlog_seconds
        use = work / max(1, slots)
        self.use += _USE_WEIGHT * (use - self.use)
        self._asked = 0
        self._window_start = now
        if seconds > settings.window_seconds * 4:
            # The process was paused; the window says nothing.
            return False
        self._steer(self.use / settings.target_use)
        return True

    def _steer(self, excess: float) -> None:
        settings = self._settings
        factor = settings.most_rise
        if excess > 0:
            factor = min(factor, excess ** (-settings.gain))
        factor = max(factor, settings.most_fall)
        self.share = min(1, max(_LEAST_SHARE, self.share * factor))
