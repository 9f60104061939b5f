"""A node's statistics of one target that it may place calls at."""

from typing import Final

from lovageshunt.calls import LoadReport
from lovageshunt.routing._member import RouteMember

#: Weight of one answer in the mean duration of its kind.
_DURATION_WEIGHT: Final = 0.1
#: Weight of one answer in the share of failures.
_FAILURE_WEIGHT: Final = 0.08
#: How much a failure share of 1 adds to the cost of a target, as a multiple.
_FAILURE_COST_FACTOR: Final = 10
#: How much slower a target is during a cold start.
_COLD_FACTOR: Final = 2.0
#: A mean duration that was not updated for this long starts to decay, with
#: the same time as its half-life, so that a target that was slow is tried
#: again.
_AGING_SECONDS: Final = 1.0
#: The duration assumed for a kind that a target has not answered yet.
_INITIAL_DURATION_SECONDS: Final = 0.02
#: A load report older than this is ignored; nodes send several in this time.
_LOAD_TTL_SECONDS: Final = 1.5
#: Weight of one load report in the utilisation of a target: nodes that all
#: followed the last report would leave and return at the same time.
_UTILISATION_WEIGHT: Final = 0.5
#: Failures in a row that eject a target.
_FAILURES_TO_EJECT: Final = 4
#: The first ejection time and the longest; it doubles with each ejection.
_EJECTION_SECONDS: Final = 0.7
_MAX_EJECTION_SECONDS: Final = 3.0
#: How long a target that refused a call as leaving is excluded; by then the
#: target list shows that it leaves.
_LEAVING_SECONDS: Final = 3.0
#: Bounds the exponent of the ejection time.
_MAX_DOUBLINGS: Final = 3


class _MeanDuration:
    """The mean duration of one kind of call, and when it was last updated."""

    __slots__ = ('seconds', 'updated_at')

    def __init__(self, seconds: float, updated_at: float) -> None:
        self.seconds = seconds
        self.updated_at = updated_at

    def add(self, seconds: float, now: float) -> None:
        """Update the mean with the duration of another answer."""
        self.seconds += _DURATION_WEIGHT * (seconds - self.seconds)
        self.updated_at = now

    def expected(self, now: float) -> float:
        """Return the mean in seconds, decayed by its age."""
        age = now - self.updated_at - _AGING_SECONDS
        if age <= 0:
            return self.seconds
        return self.seconds / 2 ** (age / _AGING_SECONDS)


class Candidate:
    """Load, durations by kind and failures of one target.

    ``cold_until`` is the time at which its cold start is over, ``in_flight``
    counts this node's own calls, ``failure_share`` is between 0 and 1. Times
    are in seconds on the node's clock.
    """

    __slots__ = (
        'member',
        'cold_until',
        'in_flight',
        'failure_share',
        '_load',
        '_load_at',
        '_utilisation',
        '_duration_by_kind',
        '_failures',
        '_ejections',
        '_ejected_until',
    )

    def __init__(self, member: RouteMember) -> None:
        self.member = member
        self.cold_until = float(0)
        self.in_flight = 0
        self.failure_share = float(0)
        self._load = LoadReport(running=0, waiting=0, limit=0, service_ms=0)
        self._load_at = float('-inf')
        self._utilisation = float(0)
        self._duration_by_kind: dict[str, _MeanDuration] = {}
        self._failures = 0
        self._ejections = 0
        self._ejected_until = float('-inf')

    def is_restarted(self, member: RouteMember) -> bool:
        """Return whether ``member`` is another incarnation of the target."""
        return member.incarnation != self.member.incarnation

    def record_load(self, load: LoadReport, now: float) -> None:
        """Update the utilisation from a load report of the target's node."""
        if now - self._load_at > _LOAD_TTL_SECONDS:
            self._utilisation = float(0)
        self._load = load
        self._load_at = now
        reported = (load.running + load.waiting) / max(1, load.limit)
        self._utilisation += _UTILISATION_WEIGHT * (
            reported - self._utilisation
        )

    def record_answer(
        self,
        kind: str,
        seconds: float,
        now: float,
        *,
        was_error: bool,
    ) -> None:
        """Record an answer; the duration of an error is ignored."""
        self._failures = 0
        self._ejections = 0
        outcome = float(was_error)
        self.failure_share += _FAILURE_WEIGHT * (outcome - self.failure_share)
        if was_error:
            return
        known = self._duration_by_kind.get(kind)
        if known is None:
            self._duration_by_kind[kind] = _MeanDuration(seconds, now)
        else:
            known.add(seconds, now)

    def record_shed(self) -> None:
        """Record that the target refused a call that its node admitted."""
        self.failure_share += _FAILURE_WEIGHT * (1 - self.failure_share)

    def record_failure(self, now: float, draw: float) -> None:
        """Record a call without an answer; several in a row eject the target.

        ``draw`` is a random number from 0 to 1 that spreads the ejection time.
        """
        self.record_shed()
        self._failures += 1
        if self._failures < _FAILURES_TO_EJECT:
            return
        self._failures = 0
        doublings = min(self._ejections, _MAX_DOUBLINGS)
        seconds = _EJECTION_SECONDS * 2**doublings
        self._ejections += 1
        spread = draw + 1 / 2
        self._ejected_until = now + spread * min(
            seconds,
            _MAX_EJECTION_SECONDS,
        )

    def record_leaving(self, now: float) -> None:
        """Eject a target that refused a call as leaving or as replaced."""
        self._ejected_until = now + _LEAVING_SECONDS

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected."""
        return now < self._ejected_until

    def utilisation(self, now: float) -> float:
        """Return running and waiting calls over the slots, as last reported.

        At least the share of this node's own calls; 0 without a recent report.
        """
        if self._load.limit == 0 or now - self._load_at > _LOAD_TTL_SECONDS:
            return 0
        return max(self._utilisation, self.in_flight / self._load.limit)

    def expected_seconds(self, kind: str, now: float) -> float:
        """Return the expected duration of a call of a kind in seconds."""
        known = self._duration_by_kind.get(kind)
        seconds = (
            _INITIAL_DURATION_SECONDS if known is None else known.expected(now)
        )
        if now < self.cold_until:
            return seconds * _COLD_FACTOR
        return seconds

    def has_answered(self, kind: str) -> bool:
        """Return whether the target has answered a call of a kind."""
        return kind in self._duration_by_kind

    def cost(self, kind: str, now: float) -> float:
        """Return the expected duration of a call in seconds.

        Failures and utilisation count as additional duration.
        """
        penalty = 1 + _FAILURE_COST_FACTOR * self.failure_share
        load = 1 + self.utilisation(now) ** 2
        return self.expected_seconds(kind, now) * penalty * load
