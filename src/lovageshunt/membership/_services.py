"""Which tracked VMs each needed service has, and which of them get calls."""

from typing import Final

from lovageshunt.membership._member import Member
from lovageshunt.membership._tracked import Tracked

#: When more than this share of a service looks silent, the picture is wrong.
_TRUSTED_SHARE: Final = 0.5


class ServiceIndex:
    """Tracked VMs by service, with the members to offer kept ready."""

    __slots__ = ('_tracked_by_service', '_offered_by_service', '_changed')

    def __init__(self, services: frozenset[str]) -> None:
        """Hold no VM of any service."""
        self._tracked_by_service: dict[str, dict[str, Tracked]] = {
            service: {} for service in services
        }
        self._offered_by_service: dict[str, list[Member]] = {}
        self._changed: set[str] = set()

    @property
    def services(self) -> frozenset[str]:
        """Return the services whose members are kept."""
        return frozenset(self._tracked_by_service)

    def add(self, tracked: Tracked) -> None:
        """Place a VM under its service."""
        service = tracked.member.service
        by_name = self._tracked_by_service.setdefault(service, {})
        by_name[tracked.member.name] = tracked
        self.touch(service)

    def remove(self, tracked: Tracked) -> None:
        """Take a VM from its service."""
        service = tracked.member.service
        self._tracked_by_service[service].pop(tracked.member.name, None)
        self.touch(service)

    def tracked_of(self, service: str) -> list[Tracked]:
        """Return the VMs of a service in the order of their names."""
        by_name = self._tracked_by_service.get(service, {})
        return [by_name[name] for name in sorted(by_name)]

    def members_of(self, service: str) -> list[Member]:
        """Return the members that may get new calls."""
        offered = self._offered_by_service.get(service)
        if offered is None:
            offered = [
                tracked.member
                for tracked in self.tracked_of(service)
                if not tracked.is_leaving
            ]
            self._offered_by_service[service] = offered
        return offered

    def touch(self, service: str) -> None:
        """Bring the members of a service up to date with their lives."""
        self._changed.add(service)
        self._offered_by_service.pop(service, None)
        tracked_of_service = self._tracked_by_service[service].values()
        offered = []
        for tracked in tracked_of_service:
            tracked.member.is_leaving = tracked.is_leaving
            if not tracked.is_leaving:
                offered.append(tracked)
        silent_count = sum(one.seems_silent for one in offered)
        is_trusted = silent_count <= len(offered) * _TRUSTED_SHARE
        for candidate in offered:
            candidate.member.is_suspect = is_trusted and candidate.seems_silent

    def forget_signs(self) -> None:
        """Drop what was seen before a pause; only leaves are kept."""
        for service, by_name in self._tracked_by_service.items():
            for tracked in by_name.values():
                tracked.forget_signs()
            self.touch(service)

    def take_changed(self) -> list[str]:
        """Return the services that changed since this was last asked."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed
