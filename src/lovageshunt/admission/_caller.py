"""A caller's estimate of the thresholds of the services below it."""

from collections.abc import Collection
from typing import Final

from lovageshunt._record import Record
from lovageshunt.admission._levels import OPEN_THRESHOLD, is_refused
from lovageshunt.admission._retry_after import spread_retry_after_ms
from lovageshunt.admission._settings import CallerSettings
from lovageshunt.calls import RANK_COUNT

#: Bounds the exponent; any threshold is open long before this many doublings.
_MAX_DOUBLINGS: Final = 30


class _ReportedThreshold(Record):
    __slots__ = ('threshold', 'reported_at', 'refused_at')

    def __init__(self, *, threshold: float, reported_at: float) -> None:
        self.threshold = threshold
        self.reported_at = reported_at
        self.refused_at = float('-inf')


class CallerThresholds:
    """Refuses at the caller what a service below would refuse.

    Keeps a threshold for each called service. A kind of request is refused
    for a service only when answers to that kind named the service. A service
    without a reported threshold refuses nothing.
    """

    __slots__ = ('_settings', '_reported_by_service', '_dependencies_by_kind')

    def __init__(self, settings: CallerSettings | None = None) -> None:
        self._settings = settings or CallerSettings()
        self._reported_by_service: dict[str, _ReportedThreshold] = {}
        self._dependencies_by_kind: dict[str, dict[str, float]] = {}

    def learn(self, service: str, threshold: int, now: float) -> None:
        """Update a service's threshold from an answer.

        The estimate is smoothed, because each answer comes from only one of
        the service's targets.
        """
        known = self._threshold(service, now)
        reported = self._reported_by_service.setdefault(
            service,
            _ReportedThreshold(threshold=OPEN_THRESHOLD, reported_at=now),
        )
        change = self._settings.smoothing * (threshold - known)
        reported.threshold = known + change
        reported.reported_at = now
        if threshold < OPEN_THRESHOLD:
            reported.refused_at = now

    def record_dependencies(
        self, kind: str, services: list[str], now: float
    ) -> None:
        """Record the services that an answer to a kind of request named."""
        # Reinserting keeps the kinds in the order of their last update.
        dependencies = self._dependencies_by_kind.pop(kind, {})
        dependencies.update(dict.fromkeys(services, now))
        self._dependencies_by_kind[kind] = dependencies
        if len(self._dependencies_by_kind) > self._settings.max_kinds:
            self._dependencies_by_kind.pop(
                next(iter(self._dependencies_by_kind)),
            )

    def verdict(self, service: str, level: int, now: float) -> int | None:
        """Return a retry delay in ms, or ``None`` if the call is admitted.

        The delay grows with the importances between level and threshold: the
        levels that will be admitted last need not retry first.
        """
        threshold = int(self._threshold(service, now))
        if not is_refused(level, threshold, self._settings.floor_ranks):
            return None
        distance = 1 + max(0, level - threshold) / RANK_COUNT
        seconds = self._settings.retry_after_seconds * distance
        return spread_retry_after_ms(seconds, level)

    def verdict_of_kind(self, kind: str, level: int, now: float) -> int | None:
        """Return the longest retry delay in ms over the kind's dependencies.

        ``None`` means that all of them admit the call.
        """
        waits = [
            self.verdict(service, level, now)
            for service in self.dependencies(kind, now)
        ]
        return max((wait for wait in waits if wait is not None), default=None)

    def dependencies(self, kind: str, now: float) -> list[str]:
        """Return the services that recent answers to a kind named."""
        since = now - self._settings.dependency_ttl_seconds
        dependencies = self._dependencies_by_kind.get(kind, {})
        return [service for service, at in dependencies.items() if at >= since]

    def advertised(
        self,
        now: float,
        services: Collection[str] | None = None,
    ) -> dict[str, int]:
        """Return the thresholds to send with an answer, by service.

        ``services`` are those that the answered call used; without it all
        services are included, also for kinds that do not depend on them. A
        service that has refused nothing for ``advertise_seconds`` is left
        out; one that has just opened is included, so that callers learn of
        it.
        """
        since = now - self._settings.advertise_seconds
        return {
            service: int(self._threshold(service, now))
            for service, reported in self._reported_by_service.items()
            if reported.refused_at >= since
            and (services is None or service in services)
        }

    def _threshold(self, service: str, now: float) -> float:
        reported = self._reported_by_service.get(service)
        if reported is None:
            return OPEN_THRESHOLD
        overdue = now - reported.reported_at - self._settings.hold_seconds
        if overdue <= 0:
            return reported.threshold
        doublings = min(
            overdue / self._settings.doubling_seconds, _MAX_DOUBLINGS
        )
        rise = self._settings.probe_ranks * 2**doublings
        return min(OPEN_THRESHOLD, reported.threshold + rise)
