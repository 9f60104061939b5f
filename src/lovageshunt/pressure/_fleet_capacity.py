"""The capacity that the targets of each service report through their nodes."""

from math import ceil
from statistics import median_high
from typing import Final

from lovageshunt._record import Record
from lovageshunt.pressure._refusals import accepted_share

#: A report older than this is dropped, in seconds: nodes repeat theirs at
#: least each second.
_EXPIRY_SECONDS: Final = 2.0
#: The most groups of targets that are told of a service.
_MAX_GROUPS: Final = 8


class TargetCapacity(Record):
    """The capacity of one target.

    ``share`` is the share of its demand that it has capacity for, ``slots``
    how many calls may run in it at once. ``sent_per_second`` calls reach it
    from its node, of which it refuses ``refused_per_second`` although there
    were free slots.
    """

    __slots__ = ('share', 'slots', 'sent_per_second', 'refused_per_second')

    def __init__(
        self,
        *,
        share: float,
        slots: int,
        sent_per_second: float = 0,
        refused_per_second: float = 0,
    ) -> None:
        self.share = share
        self.slots = slots
        self.sent_per_second = sent_per_second
        self.refused_per_second = refused_per_second

    @property
    def is_short(self) -> bool:
        """Whether the target has too little room, or refuses calls."""
        return self.share < 1 or self.refused_per_second > 0


class _Report(Record):
    """The capacities that one target or coordinator reported, and when."""

    __slots__ = ('capacities', 'at')

    def __init__(self, *, capacities: list[TargetCapacity], at: float) -> None:
        self.capacities = capacities
        self.at = at


class FleetCapacity:
    """The latest report of every target, by service."""

    __slots__ = ('_report_by_target_by_service',)

    def __init__(self) -> None:
        self._report_by_target_by_service: dict[str, dict[str, _Report]] = {}

    @property
    def services(self) -> list[str]:
        """Return the services with at least one report, also expired."""
        return list(self._report_by_target_by_service)

    def record_report(
        self,
        service: str,
        target_id: str,
        capacity: TargetCapacity,
        now: float,
    ) -> None:
        """Record the report of a target in place of its last one."""
        self.record_part(service, target_id, [capacity], now)

    def record_part(
        self,
        service: str,
        reporter: str,
        capacities: list[TargetCapacity],
        now: float,
    ) -> None:
        """Record those of a part of the targets in place of the last ones."""
        by_target = self._report_by_target_by_service.setdefault(service, {})
        by_target[reporter] = _Report(capacities=capacities, at=now)

    def slots_of(self, service: str, now: float) -> float:
        """Return the slots of a service that requests may use."""
        capacities = self._current(service, now)
        if not capacities:
            return 0
        # One overloaded target among others with spare capacity is a matter
        # of load balancing, so the median share applies to the service.
        share = median_high(capacity.share for capacity in capacities)
        return share * sum(capacity.slots for capacity in capacities)

    def groups_of(self, service: str, now: float) -> list[TargetCapacity]:
        """Return the capacities of a service in few groups, by their share.

        Targets of similar share are one group, so that the median over the
        groups of several parts is about that over their targets.
        """
        capacities = sorted(
            self._current(service, now), key=lambda each: each.share
        )
        size = ceil(len(capacities) / _MAX_GROUPS)
        return [
            _sum_of(capacities[first : first + size])
            for first in range(0, len(capacities), size or 1)
        ]

    def forget(self, reporter: str) -> None:
        """Drop the reports of a reporter whose targets others include."""
        for by_target in self._report_by_target_by_service.values():
            by_target.pop(reporter, None)

    def accepted_of(self, service: str, now: float) -> float:
        """Return the share of the calls that a service's targets accept."""
        capacities = self._current(service, now)
        return accepted_share(
            sum(capacity.sent_per_second for capacity in capacities),
            sum(capacity.refused_per_second for capacity in capacities),
        )

    def _current(self, service: str, now: float) -> list[TargetCapacity]:
        """Drop expired reports of a service; return the others."""
        by_target = self._report_by_target_by_service.get(service, {})
        for target_id, report in list(by_target.items()):
            if now - report.at > _EXPIRY_SECONDS:
                by_target.pop(target_id)
        return [
            capacity
            for report in by_target.values()
            for capacity in report.capacities
        ]


def _sum_of(capacities: list[TargetCapacity]) -> TargetCapacity:
    """Return the capacity of some targets as that of one."""
    return TargetCapacity(
        share=median_high(each.share for each in capacities),
        slots=sum(each.slots for each in capacities),
        sent_per_second=sum(each.sent_per_second for each in capacities),
        refused_per_second=sum(each.refused_per_second for each in capacities),
    )
