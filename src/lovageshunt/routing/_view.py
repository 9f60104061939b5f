"""What a caller knows of one target."""

from typing import Final

from lovageshunt.calls import LoadReport
from lovageshunt.routing._member import RouteMember
from lovageshunt.routing._settings import RouterSettings

#: Weight of one answer in the mean latency.
_LATENCY_WEIGHT: Final = 0.1
#: Weight of one answer in the share of failures.
_FAILURE_WEIGHT: Final = 0.1
#: How many times the cost a target has whose calls all fail.
_FAILURE_COST: Final = 10
#: The mean latency assumed before the first answer, in seconds.
_FIRST_LATENCY: Final = 0.01
#: The longest ejection, as a power of two of the first.
_MOST_DOUBLINGS: Final = 10
#: The least share of traffic in slow start.
_LEAST_WARMTH: Final = 0.1


class TargetView:
    """In-flight calls, latency, reported load and failures of one target."""

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
        """Know nothing yet but when the target joined."""
        self.member = member
        self.in_flight = 0
        self.ejected_until = float('-inf')
        self._settings = settings
        self._joined_at = joined_at
        self._latency = _FIRST_LATENCY
        self._load = LoadReport(running=0, waiting=0, limit=1, service_ms=1)
        self._load_at = float('-inf')
        self._failures = 0
        self._failure_share = float(0)
        self._ejections = 0
        self._is_on_probation = False

    def succeeded(self, seconds: float) -> None:
        """Note a whole answer."""
        self._latency += _LATENCY_WEIGHT * (seconds - self._latency)
        self._failures = 0
        self._failure_share *= 1 - _FAILURE_WEIGHT
        self._is_on_probation = False

    def refused(self, now: float) -> None:
        """Note a refusal for overload: the target is full, not broken."""
        self._load = LoadReport(
            running=self._load.limit,
            waiting=max(1, self._load.waiting),
            limit=self._load.limit,
            service_ms=self._load.service_ms,
        )
        self._load_at = now

    def failed(self, seconds: float) -> bool:
        """Note a failure; return whether the target should be left out.

        A failure never lowers the latency, so fast errors attract no calls.
        """
        slower = max(seconds, self._latency)
        self._latency += _LATENCY_WEIGHT * (slower - self._latency)
        self._failures += 1
        self._failure_share += _FAILURE_WEIGHT * (1 - self._failure_share)
        # One that was left out and has not answered since gets no more trials.
        if self._is_on_probation:
            return True
        return self._failures >= self._settings.failures_to_eject

    def eject(self, now: float, spread: float) -> None:
        """Leave the target out for a time that doubles with each ejection."""
        doublings = min(self._ejections, _MOST_DOUBLINGS)
        seconds = min(
            self._settings.ejection_seconds * 2**doublings,
            self._settings.most_ejection_seconds,
        )
        self.ejected_until = now + seconds * spread
        half_start = self._settings.slow_start_seconds / 2
        self._joined_at = self.ejected_until - half_start
        self._ejections += 1
        self._failures = 0
        self._is_on_probation = True

    def report(self, load: LoadReport, now: float) -> None:
        """Take the load that came with an answer."""
        self._load = load
        self._load_at = now

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is left out."""
        return now < self.ejected_until

    def warmth(self, now: float) -> float:
        """Return the share of its traffic that a new target should get."""
        age = max(0, now - self._joined_at)
        share = age / self._settings.slow_start_seconds
        return min(1, max(_LEAST_WARMTH, share))

    def utilisation(self, now: float) -> float:
        """Return running and waiting calls over the limit, as last heard."""
        calls = self._load.running + self._load.waiting
        return self._freshness(now) * calls / max(1, self._load.limit)

    def cost(self, now: float) -> float:
        """Return the time a new call is expected to take, in seconds."""
        own = self.in_flight / max(1, self._load.limit)
        trouble = 1 + _FAILURE_COST * self._failure_share
        return self._latency * trouble * (1 + own + self.utilisation(now))

    def _freshness(self, now: float) -> float:
        age = max(0, now - self._load_at)
        return max(0, 1 - age / self._settings.load_memory_seconds)
