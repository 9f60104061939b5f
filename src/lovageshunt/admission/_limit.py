"""The limit on calls that run in a target at once."""

from typing import Final

from lovageshunt.admission._settings import AdmissionSettings

#: Weight of one call in the mean service time.
_SERVICE_WEIGHT: Final = 0.05
#: Share of shed calls in a window above which the limit falls.
_SHED_SHARE: Final = 0.1
#: The limit's factor after a window of shed calls.
_BACKOFF: Final = 0.9
#: The step back towards the published slots after a good window.
_STEP: Final = 0.02
#: The factor of a trial above the limit.
_TRIAL: Final = 1.25
#: The growth of the mean time that a trial may cause at most.
_MOST_GROWTH: Final = 1.12
#: Calls in each half of a trial, at least, and per slot.
_FEWEST_CALLS: Final = 100
_CALLS_PER_SLOT: Final = 5
#: Windows in a row without a waiting call that end a trial.
_MOST_CALM_WINDOWS: Final = 5
#: The wait after a trial that failed, doubled each time, in seconds.
_FIRST_WAIT: Final = 2
_LONGEST_WAIT: Final = 64


class _Sample:
    """The mean time of the calls that started since some time."""

    __slots__ = ('since', 'count', 'total')

    def __init__(self, since: float) -> None:
        self.since = since
        self.count = 0
        self.total = float(0)

    @property
    def mean(self) -> float:
        """Return the mean time in seconds."""
        return self.total / max(1, self.count)

    def add(self, seconds: float) -> None:
        """Count a call."""
        self.count += 1
        self.total += seconds


class ConcurrencyLimit:
    """Follows the target's true room, starting from the published slots.

    While calls wait, it lets a quarter more run for a trial. When their mean
    time hardly grows, the target had room and the limit follows. Only calls
    of the same moment are compared, so that a slow start or a slow service
    below, which slow down every call, move nothing. When the target itself
    sheds calls the limit falls, and comes back in small steps.
    """

    __slots__ = (
        '_settings',
        '_limit',
        '_sample',
        '_shed',
        '_finished',
        '_calm_windows',
        '_mean_before',
        '_next_trial',
        '_wait',
        'service_seconds',
    )

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        """Start at the published slots."""
        self._settings = settings
        self._limit = float(settings.slots)
        self._sample = _Sample(now)
        self._shed = 0
        self._finished = 0
        self._calm_windows = 0
        self._mean_before: float | None = None
        self._next_trial = now
        self._wait = float(_FIRST_WAIT)
        self.service_seconds = settings.service_seconds

    @property
    def slots(self) -> int:
        """Return the number of calls that may run now."""
        limit = self._limit
        if self._mean_before is not None:
            limit = self._raised()
        return max(1, int(limit))

    def record(self, seconds: float, now: float) -> None:
        """Note the time of one call in the target."""
        self._finished += 1
        error = seconds - self.service_seconds
        self.service_seconds += _SERVICE_WEIGHT * error
        if now - seconds >= self._sample.since:
            self._sample.add(seconds)

    def record_shed(self) -> None:
        """Note that the target itself refused a call for its load."""
        self._shed += 1

    def close_window(self, now: float, *, was_saturated: bool) -> None:
        """Move the limit by what the window showed."""
        calls = self._shed + self._finished
        is_shedding = self._shed > calls * _SHED_SHARE
        self._shed = 0
        self._finished = 0
        if is_shedding:
            floor = self._settings.slots * self._settings.least_share
            self._limit = max(floor, self._limit * _BACKOFF)
            self._fail_trial(now)
            return
        slots = self._settings.slots
        if self._limit < slots:
            self._limit = min(slots, self._limit + slots * _STEP)
            return
        self._calm_windows = 0 if was_saturated else self._calm_windows + 1
        if self._calm_windows < _MOST_CALM_WINDOWS:
            self._continue_trial(now)
            return
        self._mean_before = None
        self._sample = _Sample(now)

    def _continue_trial(self, now: float) -> None:
        if self._sample.count < max(
            _FEWEST_CALLS,
            self.slots * _CALLS_PER_SLOT,
        ):
            return
        mean = self._sample.mean
        if self._mean_before is None:
            has_room = self._raised() > self._limit
            if has_room and now >= self._next_trial:
                self._mean_before = mean
        elif mean <= self._mean_before * _MOST_GROWTH:
            self._limit = self._raised()
            self._wait = _FIRST_WAIT
            self._mean_before = None
        else:
            self._fail_trial(now)
        self._sample = _Sample(now)

    def _fail_trial(self, now: float) -> None:
        self._mean_before = None
        self._next_trial = now + self._wait
        self._wait = min(_LONGEST_WAIT, self._wait * 2)
        self._sample = _Sample(now)

    def _raised(self) -> float:
        most = self._settings.slots * self._settings.max_limit_share
        return min(most, max(self._limit + 1, self._limit * _TRIAL))
