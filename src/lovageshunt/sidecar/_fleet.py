"""The targets of the fleet and the links to their nodes."""

from collections.abc import Callable
from random import Random

from lovageshunt._record import Record
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.links import Dialer, RunAnswer
from lovageshunt.routing import RouteMember, Router


class TargetEntry(Record):
    """A target as the platform's list has it.

    ``host`` and ``port`` are where it listens, ``started_ms`` tells one life
    of it from the next under the same id. ``is_leaving`` asks for no new
    calls; ``cold_seconds`` is how much longer it is slow after its start.
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
        """Take every field by name."""
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
    """Places calls at targets and keeps a link to each of their nodes."""

    def __init__(
        self,
        *,
        own_host: str,
        own_failure_domain: str,
        rng: Random,
        make_dialer: Callable[[str], Dialer],
    ) -> None:
        """Begin with no targets."""
        self._own_host = own_host
        self._own_failure_domain = own_failure_domain
        self._rng = rng
        self._make_dialer = make_dialer
        self._router_by_service: dict[str, Router] = {}
        self._dialer_by_host: dict[str, Dialer] = {}
        self.entry_by_id: dict[str, TargetEntry] = {}

    @property
    def node_count(self) -> int:
        """Return how many nodes the list names."""
        return len({entry.host for entry in self.entry_by_id.values()})

    def entry_at(self, host: str, port: int) -> TargetEntry | None:
        """Return the target that listens at an address, the latest first."""
        found = [
            entry
            for entry in self.entry_by_id.values()
            if entry.host == host and entry.port == port
        ]
        return max(found, key=lambda entry: entry.started_ms, default=None)

    def take(self, entries: list[TargetEntry]) -> None:
        """Replace the picture; links to nodes that are gone are closed."""
        now = clock_now()
        self.entry_by_id = {entry.target_id: entry for entry in entries}
        members_by_service: dict[str, list[RouteMember]] = {
            service: [] for service in self._router_by_service
        }
        for entry in entries:
            members = members_by_service.setdefault(entry.service, [])
            members.append(_member_of(entry))
        for service, members in members_by_service.items():
            self._router(service).set_members(members, now)
        self._set_links({entry.host for entry in entries})

    def dialer(self, host: str) -> Dialer:
        """Return the link to the node on a host."""
        dialer = self._dialer_by_host.get(host)
        if dialer is None:
            dialer = self._make_dialer(host)
            self._dialer_by_host[host] = dialer
        return dialer

    def choose(
        self,
        service: str,
        excluded: frozenset[str],
    ) -> TargetEntry | None:
        """Return the target for a call, or nothing if none may be used."""
        router = self._router_by_service.get(service)
        if router is None:
            return None
        unreachable = frozenset(
            entry.target_id
            for entry in self.entry_by_id.values()
            if entry.service == service and self._is_down(entry.host)
        )
        now = clock_now()
        member = router.choose(now, excluded | unreachable)
        if member is None:
            member = router.choose(now, excluded)
        if member is None:
            return None
        return self.entry_by_id.get(member.node)

    def started(self, entry: TargetEntry) -> None:
        """Note that a call was sent to a target."""
        self._router(entry.service).started(entry.target_id, clock_now())

    def ended(
        self,
        entry: TargetEntry,
        answer: RunAnswer,
        seconds: float,
    ) -> None:
        """Note how a call ended."""
        self._router(entry.service).answered(
            entry.target_id,
            clock_now(),
            seconds=seconds,
            outcome=answer.outcome,
            reason=answer.reason,
            load=answer.load,
        )

    def abandoned(self, entry: TargetEntry) -> None:
        """Note that a call was given up, which says nothing of its target."""
        self._router(entry.service).answered(
            entry.target_id,
            clock_now(),
            seconds=0,
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.CANCELLED,
        )

    def close(self) -> None:
        """Close every link."""
        for dialer in self._dialer_by_host.values():
            dialer.close()

    def _set_links(self, hosts: set[str]) -> None:
        for host in set(self._dialer_by_host) - hosts:
            self._dialer_by_host.pop(host).close()
        for host in hosts - {self._own_host}:
            self.dialer(host).open()

    def _is_down(self, host: str) -> bool:
        return host != self._own_host and self.dialer(host).is_down

    def _router(self, service: str) -> Router:
        router = self._router_by_service.get(service)
        if router is None:
            router = Router(
                service=service,
                own_failure_domain=self._own_failure_domain,
                own_region='',
                rng=self._rng,
            )
            self._router_by_service[service] = router
        return router


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


