"""The tracked VMs of each service, and which of them may receive calls."""

from typing import Final

from lovageshunt.membership._member import Member
from lovageshunt.membership._tracked_vm import TrackedVm

#: If a larger share of a service seems silent, this node's view is the likelier
#: fault, and no member is suspected.
_MAX_SUSPECT_SHARE: Final = 0.5


class ServiceIndex:
    """Tracked VMs by service, with a cached list of the members to offer."""

    __slots__ = ('_tracked_by_service', '_offered_by_service', '_changed')

    def __init__(self, services: frozenset[str]) -> None:
        self._tracked_by_service: dict[str, dict[str, TrackedVm]] = {
            service: {} for service in services
        }
        self._offered_by_service: dict[str, list[Member]] = {}
        self._changed: set[str] = set()

    @property
    def services(self) -> frozenset[str]:
        """The services whose members are followed."""
        return frozenset(self._tracked_by_service)

    def add(self, tracked: TrackedVm) -> None:
        service = tracked.member.service
        by_name = self._tracked_by_service.setdefault(service, {})
        by_name[tracked.member.name] = tracked
        self.refresh(service)

    def remove(self, tracked: TrackedVm) -> None:
        service = tracked.member.service
        self._tracked_by_service[service].pop(tracked.member.name, None)
        self.refresh(service)

    def tracked_of(self, service: str) -> list[TrackedVm]:
        """Return the VMs of a service, sorted by name."""
        by_name = self._tracked_by_service.get(service, {})
        return [by_name[name] for name in sorted(by_name)]

    def members_of(self, service: str) -> list[Member]:
        """Return the members that may receive new calls."""
        offered = self._offered_by_service.get(service)
        if offered is None:
            offered = [
                tracked.member
                for tracked in self.tracked_of(service)
                if not tracked.is_leaving
            ]
            self._offered_by_service[service] = offered
        return offered

    def refresh(self, service: str) -> None:
        """Recompute the state of the members after a change of their VMs."""
        self._changed.add(service)
        self._offered_by_service.pop(service, None)
        tracked_of_service = self._tracked_by_service[service].values()
        offered = []
        for tracked in tracked_of_service:
            tracked.member.is_leaving = tracked.is_leaving
            if not tracked.is_leaving:
                offered.append(tracked)
        silent_count = sum(vm.is_silent for vm in offered)
        is_plausible = silent_count <= len(offered) * _MAX_SUSPECT_SHARE
        for candidate in offered:
            candidate.member.is_suspect = is_plausible and candidate.is_silent

    def reset_observations(self) -> None:
        """Discard what was observed before a pause; leaves are kept."""
        for service, by_name in self._tracked_by_service.items():
            for tracked in by_name.values():
                tracked.reset_observations()
            self.refresh(service)

    def pop_changed(self) -> list[str]:
        """Return the services that changed since the previous call."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed
