"""What a node knows of one target that it may place calls at."""

from typing import Final

from lovageshunt.calls import LoadReport
from lovageshunt.routing._member import RouteMember

#: Weight of one answer in the mean time of its kind.
_TIME_WEIGHT: Final = 0.1
#: Weight of one answer in the share of failures.
_FAILURE_WEIGHT: Final = 0.08
#: How many times the cost a target has whose calls all fail.
_FAILURE_COST: Final = 10
#: How much slower a target is while it is cold.
_COLD_FACTOR: Final = 2.0
#: A time that was not seen for so long, in seconds, counts half after as
#: long again, so that a target that was slow is tried again.
_AGING_SECONDS: Final = 1.0
#: The time assumed of a kind that was not seen at a target, in seconds.
_FIRST_SECONDS: Final = 0.02
#: A load that is older than this no longer counts, in seconds: some periods
#: in which nodes tell it.
_LOAD_SECONDS: Final = 1.5
#: Weight of one report in the use of a target: nodes that all follow the last
#: one would leave and rush back together.
_USE_WEIGHT: Final = 0.5
#: Failures in a row that eject a target, and for how long, in seconds.
_FAILURES_TO_EJECT: Final = 4
_EJECTION_SECONDS: Final = 0.7
_MOST_EJECTION_SECONDS: Final = 3.0
#: How long a target that said that it leaves is left out, in seconds; the
#: list tells by then.
_LEAVING_SECONDS: Final = 3.0
_MOST_DOUBLINGS: Final = 3


class _Time:
    """The mean time of one kind, and when it was last seen."""

    __slots__ = ('seconds', 'seen_at')

    def __init__(self, seconds: float, seen_at: float) -> None:
        """Begin with one answer."""
        self.seconds = seconds
        self.seen_at = seen_at

    def add(self, seconds: float, now: float) -> None:
        """Take another answer."""
        self.seconds += _TIME_WEIGHT * (seconds - self.seconds)
        self.seen_at = now

    def expected(self, now: float) -> float:
        """Return the mean, less the longer it was not seen."""
        age = now - self.seen_at - _AGING_SECONDS
        if age <= 0:
            return self.seconds
        return self.seconds / 2 ** (age / _AGING_SECONDS)


class Candidate:
    """Load, times by kind and failures of one target."""

    __slots__ = (
        'member',
        'cold_until',
        'in_flight',
        'failure_share',
        '_load',
        '_load_at',
        '_use',
        '_time_by_kind',
        '_failures',
        '_ejections',
        '_ejected_until',
    )

    def __init__(self, member: RouteMember) -> None:
        """Know nothing yet."""
        self.member = member
        self.cold_until = float(0)
        self.in_flight = 0
        self.failure_share = float(0)
        self._load = LoadReport(running=0, waiting=0, limit=0, service_ms=0)
        self._load_at = float('-inf')
        self._use = float(0)
        self._time_by_kind: dict[str, _Time] = {}
        self._failures = 0
        self._ejections = 0
        self._ejected_until = float('-inf')

    def is_reborn(self, member: RouteMember) -> bool:
        """Tell whether a member is another life of this target."""
        return member.incarnation != self.member.incarnation

    def heard(self, load: LoadReport, now: float) -> None:
        """Take the load that its node told."""
        if now - self._load_at > _LOAD_SECONDS:
            self._use = float(0)
        self._load = load
        self._load_at = now
        use = (load.running + load.waiting) / max(1, load.limit)
        self._use += _USE_WEIGHT * (use - self._use)

    def answered(
        self,
        kind: str,
        seconds: float,
        now: float,
        *,
        was_error: bool,
    ) -> None:
        """Note an answer; one that is an error tells nothing of the time."""
        self._failures = 0
        self._ejections = 0
        outcome = float(was_error)
        self.failure_share += _FAILURE_WEIGHT * (outcome - self.failure_share)
        if was_error:
            return
        known = self._time_by_kind.get(kind)
        if known is None:
            self._time_by_kind[kind] = _Time(seconds, now)
        else:
            known.add(seconds, now)

    def shed(self) -> None:
        """Note that the target refused a call that its node let through."""
        self.failure_share += _FAILURE_WEIGHT * (1 - self.failure_share)

    def failed(self, now: float, draw: float) -> None:
        """Note a call without an answer; many in a row eject the target."""
        self.shed()
        self._failures += 1
        if self._failures < _FAILURES_TO_EJECT:
            return
        self._failures = 0
        doublings = min(self._ejections, _MOST_DOUBLINGS)
        seconds = _EJECTION_SECONDS * 2**doublings
        self._ejections += 1
        spread = draw + 1 / 2
        self._ejected_until = now + spread * min(
            seconds,
            _MOST_EJECTION_SECONDS,
        )

    def refused_leaving(self, now: float) -> None:
        """Leave a target out that said that it leaves or is another one."""
        self._ejected_until = now + _LEAVING_SECONDS

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is left out."""
        return now < self._ejected_until

    def utilisation(self, now: float) -> float:
        """Return running and waiting calls over the slots, as last heard."""
        if self._load.limit == 0 or now - self._load_at > _LOAD_SECONDS:
            return 0
        return max(self._use, self.in_flight / self._load.limit)

    def expected_seconds(self, kind: str, now: float) -> float:
        """Return how long a call of a kind is expected to take."""
        known = self._time_by_kind.get(kind)
        seconds = _FIRST_SECONDS if known is None else known.expected(now)
        if now < self.cold_until:
            return seconds * _COLD_FACTOR
        return seconds

    def has_seen(self, kind: str) -> bool:
        """Tell whether a call of a kind was answered here."""
        return kind in self._time_by_kind

    def cost(self, kind: str, now: float) -> float:
        """Return what weighs against the target, in seconds."""
        trouble = 1 + _FAILURE_COST * self.failure_share
        load = 1 + self.utilisation(now) ** 2
        return self.expected_seconds(kind, now) * trouble * load
