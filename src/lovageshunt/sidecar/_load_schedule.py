"""When the load of a target is reported, and to how many at what rate."""

from typing import Final

from lovageshunt._record import Record

#: The interval of the demand reports, in seconds.
DEMAND_INTERVAL_SECONDS: Final = 0.8
#: The interval of the demand reports, and of the sums of coordinators, while
#: there are client accounts, in seconds. What an account asks beyond its limit
#: is admitted until the sums tell of it.
ACCOUNT_INTERVAL_SECONDS: Final = 0.4
#: The interval at which an unchanged load is reported, in seconds.
_LOAD_INTERVAL_SECONDS: Final = 1.0
#: Larger changes than these are reported at once: of slot use, of the share
#: of the demand that fits, and of the share of calls that the target accepts.
_USE_STEP: Final = 0.06
_SHARE_STEP: Final = 0.03
_ACCEPTED_STEP: Final = 0.1
#: The number of reports a second that a node sends to its links together, and
#: the shortest and longest interval that follow from it, in seconds.
_REPORTS_PER_SECOND: Final = 60
_MIN_INTERVAL_SECONDS: Final = 0.1
_MAX_INTERVAL_SECONDS: Final = 0.8


class ReportedLoad(Record):
    """What was last reported of a target: the shares are from 0 to 1.

    ``use`` is that of its slots, ``share`` that of the demand that fits,
    ``accepted`` that of the calls that it accepts.
    """

    __slots__ = ('use', 'share', 'accepted')

    def __init__(self, *, use: float, share: float, accepted: float) -> None:
        self.use = use
        self.share = share
        self.accepted = accepted

    @property
    def is_short(self) -> bool:
        """Whether the target has less capacity than is asked of it."""
        return self.share < 1 or self.accepted < 1 - _ACCEPTED_STEP

    def differs_from(self, other: 'ReportedLoad') -> bool:
        """Return whether the difference is worth a report of its own."""
        return (
            abs(self.use - other.use) > _USE_STEP
            or abs(self.share - other.share) > _SHARE_STEP
            or abs(self.accepted - other.accepted) > _ACCEPTED_STEP
        )


class LoadSchedule:
    """When a load is due to be reported to one kind of receiver."""

    __slots__ = ('_reported', '_reported_at')

    def __init__(self) -> None:
        self._reported = ReportedLoad(use=0, share=1, accepted=1)
        self._reported_at = float('-inf')

    def take(
        self, reported: ReportedLoad, now: float, min_interval_seconds: float
    ) -> bool:
        """Return whether to report now; if so, count it as reported."""
        interval = _LOAD_INTERVAL_SECONDS
        if reported.differs_from(self._reported):
            interval = min_interval_seconds
        if now - self._reported_at < interval:
            return False
        self._reported = reported
        self._reported_at = now
        return True


def interval_for(links: int) -> float:
    """Return the seconds between two reports to a number of links."""
    seconds = links / _REPORTS_PER_SECOND
    return min(max(seconds, _MIN_INTERVAL_SECONDS), _MAX_INTERVAL_SECONDS)
