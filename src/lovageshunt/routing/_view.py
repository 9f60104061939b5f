"""A caller's statistics of one target."""

from typing import Final

from lovageshunt.calls import LoadReport
from lovageshunt.routing._member import RouteMember
from lovageshunt.routing._settings import RouterSettings

#: Weight of one answer in the mean latency.
_LATENCY_WEIGHT: Final = 0.1
#: Weight of one answer in the share of failures.
_FAILURE_WEIGHT: Final = 0.1
#: How much a failure share of 1 adds to the cost of a target, as a multiple.
_FAILURE_COST_FACTOR: Final = 10
#: The mean latency assumed before the first answer.
_INITIAL_LATENCY_SECONDS: Final = 0.01
#: Bounds the exponent of the ejection time.
_MAX_DOUBLINGS: Final = 10
#: The smallest share of its traffic that a target gets in slow start.
_MIN_SLOW_START_SHARE: Final = 0.1


class TargetView:
    """In-flight calls, latency, reported load and failures of one target.

    Times are in seconds on the caller's clock.
    """

    __slots__ = (
        'member',
        'in_flight',
        'ejected_until',
        '_settings',
        '_joined_at',
        '_latency',
        '_load',
        '_load_at',
        '_failures',
        '_failure_share',
        '_ejections',
        '_is_on_probation',
    )

    def __init__(
        self,
        member: RouteMember,
        settings: RouterSettings,
        joined_at: float,
    ) -> None:
        self.member = member
        self.in_flight = 0
        self.ejected_until = float('-inf')
        self._settings = settings
        self._joined_at = joined_at
        self._latency = _INITIAL_LATENCY_SECONDS
        self._load = LoadReport(running=0, waiting=0, limit=1, service_ms=1)
        self._load_at = float('-inf')
        self._failures = 0
        self._failure_share = float(0)
        self._ejections = 0
        self._is_on_probation = False

    def record_success(self, seconds: float) -> None:
        """Record a complete answer and its latency."""
        self._latency += _LATENCY_WEIGHT * (seconds - self._latency)
        self._failures = 0
        self._failure_share *= 1 - _FAILURE_WEIGHT
        self._is_on_probation = False

    def record_refusal(self, now: float) -> None:
        """Record a refusal for overload: the target is full, not failing."""
        self._load = LoadReport(
            running=self._load.limit,
            waiting=max(1, self._load.waiting),
            limit=self._load.limit,
            service_ms=self._load.service_ms,
        )
        self._load_at = now

    def record_failure(self, seconds: float) -> bool:
        """Record a failure; return whether the target should be ejected.

        A failure never lowers the latency, so fast errors attract no calls.
        """
        slower = max(seconds, self._latency)
        self._latency += _LATENCY_WEIGHT * (slower - self._latency)
        self._failures += 1
        self._failure_share += _FAILURE_WEIGHT * (1 - self._failure_share)
        # A target that was ejected and has not answered since is ejected
        # again at its first failure.
        if self._is_on_probation:
            return True
        return self._failures >= self._settings.failures_to_eject

    def eject(self, now: float, spread: float) -> None:
        """Eject the target for a time that doubles with each ejection.

        ``spread`` is a factor on that time, so that callers do not return to
        the target together.
        """
        doublings = min(self._ejections, _MAX_DOUBLINGS)
        seconds = min(
            self._settings.ejection_seconds * 2**doublings,
            self._settings.max_ejection_seconds,
        )
        self.ejected_until = now + seconds * spread
        half_start = self._settings.slow_start_seconds / 2
        self._joined_at = self.ejected_until - half_start
        self._ejections += 1
        self._failures = 0
        self._is_on_probation = True

    def record_load(self, load: LoadReport, now: float) -> None:
        """Store the load reported with an answer."""
        self._load = load
        self._load_at = now

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected."""
        return now < self.ejected_until

    def slow_start_share(self, now: float) -> float:
        """Return the share of its traffic that a new target should get."""
        age = max(0, now - self._joined_at)
        share = age / self._settings.slow_start_seconds
        return min(1, max(_MIN_SLOW_START_SHARE, share))

    def utilisation(self, now: float) -> float:
        """Return running and waiting calls over the limit, as last reported.

        Falls to 0 with the age of the report.
        """
        calls = self._load.running + self._load.waiting
        return self._freshness(now) * calls / max(1, self._load.limit)

    def cost(self, now: float) -> float:
        """Return the expected latency of a new call, in seconds.

        Failures count as additional latency.
        """
        own = self.in_flight / max(1, self._load.limit)
        penalty = 1 + _FAILURE_COST_FACTOR * self._failure_share
        return self._latency * penalty * (1 + own + self.utilisation(now))

    def _freshness(self, now: float) -> float:
        age = max(0, now - self._load_at)
        return max(0, 1 - age / self._settings.load_memory_seconds)
