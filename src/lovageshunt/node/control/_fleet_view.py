"""The node's view of the fleet: members, peers, and who reads the platform."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from logging import getLogger
from random import Random

from lovageshunt._record import Record
from lovageshunt.clock import now
from lovageshunt.membership import (
    Announce,
    Announcement,
    LeaveStarted,
    ListRead,
    ListReadFailed,
    Member,
    MembersChanged,
    MembershipView,
    OwnLeaveListed,
    Peer,
    Probe,
    ReaderElection,
    ReadList,
    SendDigest,
)
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._outbox import PeerOutbox
from lovageshunt.node.control._service_peers import ServicePeers

_log = getLogger(__name__)


class FleetView:
    """Drives the decisions on members; what they ask for goes to peers."""

    def __init__(
        self,
        *,
        identity: Identity,
        called_services: tuple[str, ...],
        election: ReaderElection,
        outbox: PeerOutbox,
        rng: Random,
    ) -> None:
        """Begin knowing only this node itself."""
        self.peers = ServicePeers()
        self._has_list = False
        self._identity = identity
        self._view = MembershipView(
            own=_announcement(identity),
            needed_services=called_services,
            rng=rng,
            now=now(),
        )
        self._election = election
        self._outbox = outbox
        #: Called to read the platform, and when this VM is listed as leaving.
        self.read_platform: Callable[[bool], None] = _no_read
        self.leave: Callable[[], None] = _no_leave

    @property
    def own(self) -> Announcement:
        """Return what this node says of itself."""
        return self._view.own

    def handle_event(self, event: Record) -> None:
        """Take an event of the platform, of a peer, of time or of a pause."""
        at = now()
        # The election takes each event first: the view answers a digest, and
        # may pass over what only the election must know.
        self._perform(self._election.handle(event, at))
        if isinstance(event, ListReadFailed):
            return
        self._perform(self._view.handle(event, at))
        self._has_list = self._has_list or isinstance(event, ListRead)
        # An incarnation changes without any change of who the members are,
        # so the run-once table's peers are brought up to date every time.
        self._update_peers(at)

    def begin_leave(self) -> None:
        """Announce that this node leaves."""
        self._perform(self._view.handle(LeaveStarted(), now()))

    def members(self, service: str) -> list[Member]:
        """Return the other members of a service, and note where they are."""
        members = list(self._view.members_of(service))
        for member in members:
            self._outbox.know(member.name, _admin_of(member))
        return members

    def platform_age_seconds(self) -> float:
        """Return how long ago the platform is known to have answered.

        Negative while it is not known to have.
        """
        return self._election.news_age_seconds(now())

    @property
    def readers(self) -> list[str]:
        """Return the platform's readers in the own failure domain."""
        own = self._identity.name
        return [name for name in self._election.readers if name != own]

    def exchange_peers(self, count: int) -> list[Peer]:
        """Draw peers for an exchange, and note where they are."""
        peers = self._view.peers_for_exchange(count)
        for peer in peers:
            self._outbox.know(peer.name, peer.address)
        return peers

    def ingress_address(self, node: str) -> str | None:
        """Return where a node of the own service takes calls."""
        service = self._identity.service
        known = (*self.members(service), *self._view.lately_departed(service))
        for member in known:
            if member.name == node:
                return member.address
        return None

    def _update_peers(self, at: float) -> None:
        if not self._has_list:
            return
        service = self._identity.service
        self.peers.update(
            self._view.members_of(service),
            self._view.lately_departed(service),
            at,
        )

    def _perform(self, actions: Iterable[Record]) -> None:
        for action in actions:
            self._act(action)

    @singledispatchmethod
    def _act(self, action: Record) -> None:
        _log.error('no way to carry out %r', action)

    @_act.register
    def _announce(self, action: Announce) -> None:
        self._outbox.know(action.peer.name, action.peer.address)
        self._outbox.to(action.peer.name).bulletins.append(action.bulletin)

    @_act.register
    def _send_digest(self, action: SendDigest) -> None:
        self._outbox.know(action.peer.name, action.peer.address)
        self._outbox.to(action.peer.name).digest = action.digest

    @_act.register
    def _probe(self, action: Probe) -> None:
        # An empty envelope is a probe: its answer names the incarnation.
        self._outbox.to(action.name)

    @_act.register
    def _members_changed(self, action: MembersChanged) -> None:
        _log.debug('the members of %s changed', action.service)

    @_act.register
    def _own_leave(self, action: OwnLeaveListed) -> None:
        self.leave()

    @_act.register
    def _read_list(self, action: ReadList) -> None:
        self.read_platform(action.is_watch)


def _announcement(identity: Identity) -> Announcement:
    return Announcement(
        name=identity.name,
        service=identity.service,
        failure_domain=identity.failure_domain,
        region=identity.region,
        address=identity.ingress,
        admin_address=identity.admin,
        incarnation=identity.incarnation,
    )


def _admin_of(member: Member) -> str:
    return member.admin_address or member.address


def _no_read(is_watch: bool) -> None:
    """Read nothing."""


def _no_leave() -> None:
    """Take no notice."""
