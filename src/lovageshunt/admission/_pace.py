"""How long work takes at a target now, as the target itself says."""

from typing import Final

from lovageshunt.calls import LoadReport

#: A pace older than this says nothing, in seconds: it may change several times
#: a second.
_TTL_SECONDS: Final = 0.5
#: What a target says beyond these is taken for them.
_MIN_PACE: Final = 0.1
_MAX_PACE: Final = 10.0


class TargetPace:
    """The last pace that a target told; 1 is its usual one, 2 half as fast."""

    __slots__ = ('_pace', '_told_at')

    def __init__(self) -> None:
        self._pace = float(1)
        self._told_at = float('-inf')

    def record(self, pace: float, now: float) -> None:
        """Record what an answer told, in time for work over the usual time."""
        self._pace = min(max(pace, _MIN_PACE), _MAX_PACE)
        self._told_at = now

    def scaled(self, load: LoadReport, now: float) -> LoadReport:
        """Return a load whose slots are those of usual pace.

        A slot in which work takes twice as long is half a slot.
        """
        if self._pace == 1 or now - self._told_at > _TTL_SECONDS:
            return load
        return LoadReport(
            running=load.running,
            waiting=load.waiting,
            limit=max(1, round(load.limit / self._pace)),
            service_ms=load.service_ms,
        )
