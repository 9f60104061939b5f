"""What the targets of the services have room for, as their nodes tell it."""

from statistics import median_high
from typing import Final

from lovageshunt._record import Record
from lovageshunt.pressure._refusals import accepted_share

#: What was not told for so long is forgotten, in seconds: nodes tell it each
#: second at least.
_MEMORY_SECONDS: Final = 2.0


class TargetCapacity(Record):
    """The room at one target.

    ``share`` is the share of its demand that it has room for, ``slots`` what
    may run in it at once. ``sent_per_second`` calls its node sends to it, of
    which it refuses ``refused_per_second`` although there were slots.
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
        """Take every field by name."""
        self.share = share
        self.slots = slots
        self.sent_per_second = sent_per_second
        self.refused_per_second = refused_per_second


class _Heard(Record):
    """The room that one target told, and when."""

    __slots__ = ('room', 'at')

    def __init__(self, *, room: TargetCapacity, at: float) -> None:
        """Take both."""
        self.room = room
        self.at = at


class FleetCapacity:
    """The latest word of every target, by service."""

    __slots__ = ('_heard_by_target_by_service',)

    def __init__(self) -> None:
        """Begin with no target."""
        self._heard_by_target_by_service: dict[str, dict[str, _Heard]] = {}

    @property
    def services(self) -> list[str]:
        """Return the services of which something was told."""
        return list(self._heard_by_target_by_service)

    def heard(
        self,
        service: str,
        target_id: str,
        room: TargetCapacity,
        now: float,
    ) -> None:
        """Take what a target has room for."""
        by_target = self._heard_by_target_by_service.setdefault(service, {})
        by_target[target_id] = _Heard(room=room, at=now)

    def slots_of(self, service: str, now: float) -> float:
        """Return the slots of a service that requests may use."""
        fleet_capacity = self._lately(service, now)
        if not fleet_capacity:
            return 0
        # One target that is full while others have room is a matter of
        # placing, so the one in the middle speaks for all.
        share = median_high(room.share for room in fleet_capacity)
        return share * sum(room.slots for room in fleet_capacity)

    def accepted_of(self, service: str, now: float) -> float:
        """Return the share of the calls that a service's targets accept."""
        fleet_capacity = self._lately(service, now)
        return accepted_share(
            sum(room.sent_per_second for room in fleet_capacity),
            sum(room.refused_per_second for room in fleet_capacity),
        )

    def _lately(self, service: str, now: float) -> list[TargetCapacity]:
        """Return what the targets of a service told lately."""
        by_target = self._heard_by_target_by_service.get(service, {})
        for target_id, heard in list(by_target.items()):
            if now - heard.at > _MEMORY_SECONDS:
                by_target.pop(target_id)
        return [heard.room for heard in by_target.values()]
