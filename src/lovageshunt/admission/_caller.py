"""What a caller remembers of the thresholds that answers told it."""

from collections.abc import Collection
from typing import Final

from lovageshunt._record import Record
from lovageshunt.admission._advice import advised_wait_ms
from lovageshunt.admission._levels import OPEN_THRESHOLD, is_refused
from lovageshunt.admission._settings import CallerSettings
from lovageshunt.calls import RANK_COUNT

#: More doublings would open any threshold long before.
_MOST_DOUBLINGS: Final = 30


class _Heard(Record):
    __slots__ = ('threshold', 'heard_at', 'refused_at')

    def __init__(self, *, threshold: float, heard_at: float) -> None:
        self.threshold = threshold
        self.heard_at = heard_at
        self.refused_at = float('-inf')


class CallerThresholds:
    """Refuses at the caller what a service below would refuse.

    Thresholds are kept for each called service. A kind of request is refused
    for a service only when answers to that kind named the service.
    """

    __slots__ = ('_settings', '_heard_by_service', '_needs_by_kind')

    def __init__(self, settings: CallerSettings | None = None) -> None:
        """Start knowing nothing, which refuses nothing."""
        self._settings = settings or CallerSettings()
        self._heard_by_service: dict[str, _Heard] = {}
        self._needs_by_kind: dict[str, dict[str, float]] = {}

    def learn(self, service: str, threshold: int, now: float) -> None:
        """Take a threshold from an answer; one target's word counts a share."""
        known = self._threshold(service, now)
        heard = self._heard_by_service.setdefault(
            service,
            _Heard(threshold=OPEN_THRESHOLD, heard_at=now),
        )
        change = self._settings.smoothing * (threshold - known)
        heard.threshold = known + change
        heard.heard_at = now
        if threshold < OPEN_THRESHOLD:
            heard.refused_at = now

    def record_dependencies(
        self, kind: str, services: list[str], now: float
    ) -> None:
        """Remember which services an answer to a kind of request named."""
        # The kind renewed last stands last.
        dependencies = self._needs_by_kind.pop(kind, {})
        dependencies.update(dict.fromkeys(services, now))
        self._needs_by_kind[kind] = dependencies
        if len(self._needs_by_kind) > self._settings.most_kinds:
            self._needs_by_kind.pop(next(iter(self._needs_by_kind)))

    def verdict(self, service: str, level: int, now: float) -> int | None:
        """Return when to come back in ms, or nothing if the call may go.

        The wait grows with the importances between level and threshold: the
        last to be admitted again need not ask first.
        """
        threshold = int(self._threshold(service, now))
        if not is_refused(level, threshold, self._settings.floor_ranks):
            return None
        distance = 1 + max(0, level - threshold) / RANK_COUNT
        seconds = self._settings.retry_after_seconds * distance
        return advised_wait_ms(seconds, level)

    def verdict_of_kind(self, kind: str, level: int, now: float) -> int | None:
        """Return the verdict of all services that the kind needs."""
        waits = [
            self.verdict(service, level, now)
            for service in self.dependencies(kind, now)
        ]
        return max((wait for wait in waits if wait is not None), default=None)

    def dependencies(self, kind: str, now: float) -> list[str]:
        """Return the services that answers to a kind named lately."""
        since = now - self._settings.memory_seconds
        dependencies = self._needs_by_kind.get(kind, {})
        return [service for service, at in dependencies.items() if at >= since]

    def advertised(
        self,
        now: float,
        services: Collection[str] | None = None,
    ) -> dict[str, int]:
        """Return the thresholds to ride on an answer.

        ``services`` are those that the answered call asked; without them all
        are told, also to kinds that do not need them. A service that refused
        nothing for a while is left out; one that has just opened is told, so
        that callers hear of it.
        """
        since = now - self._settings.news_seconds
        return {
            service: int(self._threshold(service, now))
            for service, heard in self._heard_by_service.items()
            if heard.refused_at >= since
            and (services is None or service in services)
        }

    def _threshold(self, service: str, now: float) -> float:
        heard = self._heard_by_service.get(service)
        if heard is None:
            return OPEN_THRESHOLD
        silence = now - heard.heard_at - self._settings.hold_seconds
        if silence <= 0:
            return heard.threshold
        doublings = min(
            silence / self._settings.doubling_seconds, _MOST_DOUBLINGS
        )
        risen = self._settings.probe_ranks * 2**doublings
        return min(OPEN_THRESHOLD, heard.threshold + risen)
