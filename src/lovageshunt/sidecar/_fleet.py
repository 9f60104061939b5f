"""The targets of the fleet and the links to their nodes."""

from logging import getLogger
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    LeavingNotice,
    OutageNotice,
    RunAnswer,
    TargetLoadReport,
)
from lovageshunt.routing import (
    Departures,
    Placement,
    PlacementRequest,
    RouteMember,
)
from lovageshunt.sidecar._peers import Peers

_log = getLogger(__name__)
#: Responses with this status or above count as errors of the target, except
#: a 504: it states that the request's deadline was too short.
_FIRST_ERROR: Final = 500
_GATEWAY_TIMEOUT: Final = 504


class TargetEntry(Record):
    """A target as the platform lists it.

    ``host`` and ``port`` are its address. ``started_ms`` is when it started
    and distinguishes restarts under one id. ``slots`` is how many calls it
    runs at a time. ``is_leaving`` asks that new calls go to other targets;
    ``cold_seconds`` is how much longer it is slow after its start. Nodes
    exchange entries as JSON under these field names.
    """

    __slots__ = (
        'target_id',
        'service',
        'host',
        'port',
        'failure_domain',
        'slots',
        'is_leaving',
        'cold_seconds',
        'started_ms',
    )

    def __init__(
        self,
        *,
        target_id: str,
        service: str,
        host: str,
        port: int,
        failure_domain: str,
        slots: int,
        is_leaving: bool,
        cold_seconds: float,
        started_ms: int,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.slots = slots
        self.is_leaving = is_leaving
        self.cold_seconds = cold_seconds
        self.started_ms = started_ms


class Fleet:
    """Selects targets for calls and opens the links to their nodes.

    ``peers`` are these links. ``entry_by_id`` holds the listed targets,
    ``node_count`` the number of hosts that they are on, ``own_entry`` the most
    recently started target beside this node.
    """

    def __init__(
        self,
        *,
        own_host: str,
        own_port: int,
        own_failure_domain: str,
        rng: Random,
        peers: Peers,
    ) -> None:
        self._own_host = own_host
        self._own_port = own_port
        self._own_failure_domain = own_failure_domain
        self._rng = rng
        self._peers = peers
        self._placement_by_service: dict[str, Placement] = {}
        self._departures = Departures()
        self._down_until_by_id: dict[str, float] = {}
        self.entry_by_id: dict[str, TargetEntry] = {}
        self._called_services: set[str] = set()
        self.node_count = 0
        self.own_entry: TargetEntry | None = None

    @property
    def hosts(self) -> set[str]:
        """The hosts of the listed targets."""
        return {entry.host for entry in self.entry_by_id.values()}

    def replace_targets(self, entries: list[TargetEntry]) -> None:
        """Replace the listed targets and open links to new nodes."""
        now = clock_now()
        self._note_departures(entries)
        self._log_changes(entries)
        self.entry_by_id = {entry.target_id: entry for entry in entries}
        members_by_service: dict[str, list[RouteMember]] = {
            service: [] for service in self._placement_by_service
        }
        for entry in entries:
            members = members_by_service.setdefault(entry.service, [])
            members.append(_member_of(entry))
        cold_until_by_id = {
            entry.target_id: now + entry.cold_seconds for entry in entries
        }
        for service, members in members_by_service.items():
            self._placement(service).set_members(members, cold_until_by_id)
        for target_id in (
            self._down_until_by_id.keys() - self.entry_by_id.keys()
        ):
            self._down_until_by_id.pop(target_id)
        self.node_count = len(self.hosts)
        self.own_entry = self._find_own_entry()
        for service in self._called_services:
            self._peers.open(self._subset_hosts(service))

    def is_near(self, host: str) -> bool:
        """Return whether a target on ``host`` is in the own failure domain."""
        return any(
            entry.host == host
            and entry.failure_domain == self._own_failure_domain
            for entry in self.entry_by_id.values()
        )

    def has_left(self, target_id: str) -> bool:
        """Return whether no call may be sent to a target any more.

        A target that was never listed here has not left: the news of it may
        come late.
        """
        entry = self.entry_by_id.get(target_id)
        if entry is not None:
            return entry.is_leaving
        is_removed = self._departures.is_removed(target_id)
        return is_removed or self._departures.is_leaving(target_id, 0)

    def has_spare(self) -> bool:
        """Return whether the own service has another target that stands.

        True as well if it has only one target: nothing can be spared then.
        """
        own = self.own_entry
        if own is None:
            return True
        others = [
            entry
            for entry in self.entry_by_id.values()
            if entry.service == own.service and entry is not own
        ]
        return not others or any(
            not entry.is_leaving and not self._is_unreachable(entry.target_id)
            for entry in others
        )

    def note_outage(self, notice: OutageNotice) -> None:
        """Record that a target takes no connections, or takes them again."""
        self._down_until_by_id[notice.target_id] = clock_now() + notice.seconds

    def note_target_leaving(self, notice: LeavingNotice) -> bool:
        """Send no more calls to a target; return whether that is news.

        An earlier incarnation of a listed target changes nothing.
        """
        entry = self.entry_by_id.get(notice.target_id)
        if entry is None:
            return self._departures.note_leaving(
                notice.target_id, notice.started_ms
            )
        if 0 < notice.started_ms < entry.started_ms or entry.is_leaving:
            return False
        self._departures.note_leaving(entry.target_id, entry.started_ms)
        entry.is_leaving = True
        self._placement(entry.service).note_leaving(entry.target_id)
        _log_target('target says that it leaves', entry)
        return True

    def record_load(self, report: TargetLoadReport) -> TargetEntry | None:
        """Record a target's load; return its entry, if it is listed."""
        entry = self.entry_by_id.get(report.target_id)
        if entry is not None:
            placement = self._placement(entry.service)
            placement.record_reported_load(
                entry.target_id, report.load, clock_now()
            )
        return entry

    def choose(
        self, service: str, placement_request: PlacementRequest
    ) -> TargetEntry | None:
        """Return the target for a call, or ``None`` if none is eligible."""
        placement = self._placement_by_service.get(service)
        if placement is None:
            return None
        if service not in self._called_services:
            self._called_services.add(service)
            self._peers.open(self._subset_hosts(service))
        member = placement.choose(
            placement_request, clock_now(), self._is_unreachable
        )
        if member is None:
            return None
        return self.entry_by_id.get(member.node)

    def call_started(self, entry: TargetEntry) -> None:
        """Record that a call was sent to a target."""
        self._placement(entry.service).started(entry.target_id)

    def call_ended(
        self,
        entry: TargetEntry,
        kind: str,
        answer: RunAnswer,
        seconds: float,
    ) -> None:
        """Record how a call ended, ``seconds`` after it was sent.

        The load that comes with it is newer than the last report.
        """
        is_error = answer.status >= _FIRST_ERROR
        placement = self._placement(entry.service)
        if answer.load is not None:
            placement.record_reported_load(
                entry.target_id, answer.load, clock_now()
            )
        placement.ended(
            entry.target_id,
            kind,
            seconds=seconds,
            outcome=answer.outcome,
            reason=answer.reason,
            was_error=is_error and answer.status != _GATEWAY_TIMEOUT,
            now=clock_now(),
        )

    def call_abandoned(self, entry: TargetEntry) -> None:
        """Record a cancelled call; it does not count against its target."""
        self._placement(entry.service).abandoned(entry.target_id)

    def _note_departures(self, entries: list[TargetEntry]) -> None:
        """Record who leaves; a leaving target cannot be listed as ready."""
        listed = {entry.target_id for entry in entries}
        for target_id in self.entry_by_id.keys() - listed:
            self._departures.note_removed(target_id)
        for entry in entries:
            self._departures.note_listed(entry.target_id)
            if entry.is_leaving:
                self._departures.note_leaving(entry.target_id, entry.started_ms)
            entry.is_leaving = self._departures.is_leaving(
                entry.target_id, entry.started_ms
            )

    def _log_changes(self, entries: list[TargetEntry]) -> None:
        """Log the targets that are added, shutting down or removed."""
        known = self.entry_by_id
        for entry in entries:
            message = _change_of(known.get(entry.target_id), entry)
            if message:
                _log_target(message, entry)
        listed = {entry.target_id for entry in entries}
        for target_id in known.keys() - listed:
            _log_target('target removed', known[target_id])

    def _is_unreachable(self, target_id: str) -> bool:
        """Return whether a target or its node is down, or the node stops."""
        down_until = self._down_until_by_id.get(target_id)
        if down_until is not None and clock_now() < down_until:
            return True
        return self._peers.is_down(self.entry_by_id[target_id].host)

    def _find_own_entry(self) -> TargetEntry | None:
        """Return the most recently started target beside this node."""
        found = [
            entry
            for entry in self.entry_by_id.values()
            if entry.host == self._own_host and entry.port == self._own_port
        ]
        return max(found, key=lambda entry: entry.started_ms, default=None)

    def _subset_hosts(self, service: str) -> set[str]:
        """Return the hosts of the targets that calls of a service go to."""
        return {
            self.entry_by_id[target_id].host
            for target_id in self._placement(service).subset_ids
        }

    def _placement(self, service: str) -> Placement:
        placement = self._placement_by_service.get(service)
        if placement is None:
            placement = Placement(
                self._own_failure_domain, self._rng, self._own_host
            )
            self._placement_by_service[service] = placement
        return placement


def _change_of(before: TargetEntry | None, entry: TargetEntry) -> str:
    """Return what to log of an entry, empty if nothing has changed."""
    if before is None:
        return 'target added'
    if entry.is_leaving and not before.is_leaving:
        return 'target shutting down'
    if before.started_ms != entry.started_ms:
        return 'target restarted'
    return ''


def _log_target(message: str, entry: TargetEntry) -> None:
    _log.info(
        message,
        extra={
            'target': entry.target_id,
            'service': entry.service,
            'host': entry.host,
        },
    )


def _member_of(entry: TargetEntry) -> RouteMember:
    return RouteMember(
        node=entry.target_id,
        service=entry.service,
        failure_domain=entry.failure_domain,
        region='',
        address=entry.host,
        incarnation=str(entry.started_ms),
        is_leaving=entry.is_leaving,
    )
