"""The limit on calls that run in a target at once."""

from typing import Final

from lovageshunt.admission._settings import AdmissionSettings

#: Weight of one call in the mean service time.
_SERVICE_WEIGHT: Final = 0.05
#: Share of shed calls in a window above which the limit falls.
_MAX_SHED_SHARE: Final = 0.1
#: Factor on the limit after a window of shed calls.
_BACKOFF_FACTOR: Final = 0.9
#: Step back towards the published slots after a window without shedding, as
#: a share of these slots.
_RECOVERY_STEP: Final = 0.02
#: Factor on the limit during a trial of a higher limit.
_TRIAL_FACTOR: Final = 1.25
#: The growth of the mean duration up to which a trial succeeds.
_MAX_TRIAL_GROWTH: Final = 1.12
#: Minimum calls in each half of a trial, in total and per slot.
_MIN_TRIAL_CALLS: Final = 100
_MIN_TRIAL_CALLS_PER_SLOT: Final = 5
#: Windows in a row without a waiting call that end a trial.
_MAX_UNSATURATED_WINDOWS: Final = 5
#: The delay after a failed trial, doubled each time up to the maximum.
_INITIAL_TRIAL_DELAY_SECONDS: Final = 2
_MAX_TRIAL_DELAY_SECONDS: Final = 64


class _DurationSample:
    """Count and total duration, in seconds, of calls started since a time."""

    __slots__ = ('since', 'count', 'total')

    def __init__(self, since: float) -> None:
        self.since = since
        self.count = 0
        self.total = float(0)

    @property
    def mean(self) -> float:
        """Return the mean duration in seconds, 0 without calls."""
        return self.total / max(1, self.count)

    def add(self, seconds: float) -> None:
        """Count a call of this duration."""
        self.count += 1
        self.total += seconds


class ConcurrencyLimit:
    """Tracks the target's real concurrency, from the published slots on.

    While calls wait, a trial admits a quarter more of them. If their mean
    duration hardly grows, the target had spare capacity and the limit is
    raised. The two halves of a trial follow each other directly, so a slow
    start or a slow service below, which slows down every call, does not
    change the limit. When the target itself sheds calls, the limit falls and
    then recovers in small steps.

    ``service_seconds`` is the smoothed service time of a call.
    """

    __slots__ = (
        '_settings',
        '_limit',
        '_sample',
        '_shed',
        '_finished',
        '_unsaturated_windows',
        '_baseline_mean',
        '_next_trial_at',
        '_trial_delay',
        'service_seconds',
    )

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        self._settings = settings
        self._limit = float(settings.slots)
        self._sample = _DurationSample(now)
        self._shed = 0
        self._finished = 0
        self._unsaturated_windows = 0
        self._baseline_mean: float | None = None
        self._next_trial_at = now
        self._trial_delay = float(_INITIAL_TRIAL_DELAY_SECONDS)
        self.service_seconds = settings.service_seconds

    @property
    def slots(self) -> int:
        """Return how many calls may run now, at least 1."""
        limit = self._limit
        if self._baseline_mean is not None:
            limit = self._trial_limit()
        return max(1, int(limit))

    def record(self, seconds: float, now: float) -> None:
        """Record the duration of one call in the target."""
        self._finished += 1
        error = seconds - self.service_seconds
        self.service_seconds += _SERVICE_WEIGHT * error
        if now - seconds >= self._sample.since:
            self._sample.add(seconds)

    def record_shed(self) -> None:
        """Record that the target itself refused a call because of load."""
        self._shed += 1

    def close_window(self, now: float, *, was_saturated: bool) -> None:
        """Adjust the limit to the calls of the window.

        ``was_saturated`` is true if a call had to wait for a slot.
        """
        calls = self._shed + self._finished
        is_shedding = self._shed > calls * _MAX_SHED_SHARE
        self._shed = 0
        self._finished = 0
        if is_shedding:
            floor = self._settings.slots * self._settings.min_limit_share
            self._limit = max(floor, self._limit * _BACKOFF_FACTOR)
            self._fail_trial(now)
            return
        slots = self._settings.slots
        if self._limit < slots:
            self._limit = min(slots, self._limit + slots * _RECOVERY_STEP)
            return
        self._unsaturated_windows = (
            0 if was_saturated else self._unsaturated_windows + 1
        )
        if self._unsaturated_windows < _MAX_UNSATURATED_WINDOWS:
            self._continue_trial(now)
            return
        self._baseline_mean = None
        self._sample = _DurationSample(now)

    def _continue_trial(self, now: float) -> None:
        if self._sample.count < max(
            _MIN_TRIAL_CALLS,
            self.slots * _MIN_TRIAL_CALLS_PER_SLOT,
        ):
            return
        mean = self._sample.mean
        if self._baseline_mean is None:
            can_raise = self._trial_limit() > self._limit
            if can_raise and now >= self._next_trial_at:
                self._baseline_mean = mean
        elif mean <= self._baseline_mean * _MAX_TRIAL_GROWTH:
            self._limit = self._trial_limit()
            self._trial_delay = _INITIAL_TRIAL_DELAY_SECONDS
            self._baseline_mean = None
        else:
            self._fail_trial(now)
        self._sample = _DurationSample(now)

    def _fail_trial(self, now: float) -> None:
        self._baseline_mean = None
        self._next_trial_at = now + self._trial_delay
        self._trial_delay = min(
            _MAX_TRIAL_DELAY_SECONDS,
            self._trial_delay * 2,
        )
        self._sample = _DurationSample(now)

    def _trial_limit(self) -> float:
        highest = self._settings.slots * self._settings.max_limit_share
        return min(highest, max(self._limit + 1, self._limit * _TRIAL_FACTOR))
