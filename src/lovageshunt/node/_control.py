"""The node's part in the fleet: members, rules, exchange with peers."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from logging import getLogger
from random import Random
from typing import Any, Final

from lovageshunt._record import Record
from lovageshunt.account import Peer, SendSnapshot
from lovageshunt.client import View
from lovageshunt.clock import now
from lovageshunt.membership import (
    Announce,
    Announcement,
    Bulletin,
    BulletinReceived,
    DigestReceived,
    LeaveStarted,
    ListRead,
    ListReadFailed,
    Member,
    MembersChanged,
    MembershipView,
    OwnLeaveListed,
    PauseEnded,
    PeerAnswered,
    PeerSilent,
    Probe,
    ReaderElection,
    ReadList,
    SendDigest,
    Ticked,
)
from lovageshunt.node._envelope import Envelope
from lovageshunt.node._identity import Identity
from lovageshunt.node._outbox import Outbox
from lovageshunt.node._service_peers import ServicePeers
from lovageshunt.retries import SuspectReport
from lovageshunt.routing import RouteMember
from lovageshunt.rules import (
    DocumentRead,
    MessageReceived,
    RulesChanged,
    RulesInForce,
    SendMessage,
    Spread,
    SpreadSettings,
    SpreadTicked,
)

#: Peers that rules are exchanged with in one turn.
_EXCHANGE_PEERS: Final = 6
_log = getLogger(__name__)


class Control:
    """Drives the decisions on members and rules, and their messages."""

    def __init__(
        self,
        *,
        identity: Identity,
        called_services: tuple[str, ...],
        election: ReaderElection,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        """Begin knowing only this node itself."""
        needed = frozenset((identity.service, *called_services))
        self.identity = identity
        self.services = tuple(sorted(needed))
        self.rules = RulesInForce(needed)
        self.peers = ServicePeers()
        self.view = MembershipView(
            own=_announcement(identity),
            needed_services=called_services,
            rng=rng,
            now=now(),
        )
        self._election = election
        self._outbox = outbox
        self._outbox.heard = self.heard
        self._spread = Spread(
            rng,
            SpreadSettings(name=identity.name),
            self.rules,
        )
        #: Called to read the platform, and when this VM is listed as leaving.
        self.read_platform: Callable[[bool], None] = _no_read
        self.leave: Callable[[], None] = _no_leave

    @property
    def has_list(self) -> bool:
        """Return whether the list of VMs was read once."""
        return self.peers.peers is not None

    def tick(self) -> None:
        """Let time pass, then send what has gathered."""
        at = now()
        self._perform(self.view.handle(Ticked(), at))
        self._perform(self._election.handle(Ticked(), at))
        self._tick_spread(at)
        self._outbox.flush()

    def tell(self, event: Record) -> None:
        """Take an event of the platform, of a peer or of a pause."""
        at = now()
        if isinstance(event, DocumentRead):
            self._perform(self._spread.handle(event, at))
            return
        if isinstance(event, ListRead | ListReadFailed | PauseEnded):
            self._perform(self._election.handle(event, at))
        if isinstance(event, ListReadFailed):
            return
        self._perform(self.view.handle(event, at))
        if isinstance(event, ListRead):
            self._update_peers(at)

    def take(self, envelope: Envelope) -> None:
        """Take what a peer sent."""
        at = now()
        self._outbox.know(envelope.sender, envelope.address)
        self.heard(envelope.sender, envelope.incarnation)
        for message in envelope.rules:
            received = MessageReceived(peer=envelope.sender, message=message)
            self._perform(self._spread.handle(received, at))
        for bulletin in envelope.bulletins:
            self._take_bulletin(bulletin, at)
        if envelope.digest is not None:
            digest = DigestReceived(envelope.digest)
            self._perform(self.view.handle(digest, at))
            self._perform(self._election.handle(digest, at))

    def heard(self, peer: str, incarnation: str) -> None:
        """Note that a peer answered, or that it did not."""
        event: Record = PeerSilent(peer)
        if incarnation:
            event = PeerAnswered(peer, incarnation)
        at = now()
        self._perform(self.view.handle(event, at))
        self._perform(self._election.handle(event, at))

    def begin_leave(self) -> None:
        """Announce that this node leaves."""
        self._perform(self.view.handle(LeaveStarted(), now()))
        self._outbox.flush()

    def tell_suspects(self, reports: tuple[SuspectReport, ...]) -> None:
        """Tell every node of the own service at once."""
        for member in self.members(self.identity.service):
            self._outbox.to(member.name).suspects.extend(reports)
        self._outbox.flush()

    def send_snapshots(self, sends: Iterable[SendSnapshot]) -> None:
        """Give accounts to the peers that keep them."""
        for send in sends:
            self._outbox.to(send.to_node).snapshots.append(send.raw)
        self._outbox.flush()

    def keeping_peers(self) -> list[Peer]:
        """Return the nodes that may keep accounts."""
        return [
            Peer(
                node=member.name,
                incarnation=member.incarnation,
                failure_domain=member.failure_domain,
            )
            for service in self.services
            for member in self.members(service)
        ]

    def members(self, service: str) -> list[Member]:
        """Return the other members of a service, and note where they are."""
        members = list(self.view.members_of(service))
        for member in members:
            self._outbox.know(member.name, _admin_of(member))
        return members

    def admin_address(self, node: str) -> str | None:
        """Return where a node takes exchange, if it is known."""
        return self._outbox.address_of(node)

    def ingress_address(self, node: str) -> str | None:
        """Return where a node of the own service takes calls."""
        service = self.identity.service
        known = (*self.members(service), *self.view.lately_departed(service))
        for member in known:
            if member.name == node:
                return member.address
        return None

    def client_view(self, services: tuple[str, ...]) -> View:
        """Return what a client needs to know of some services.

        Services that this node neither serves nor calls are left out.
        """
        document = self.rules.current
        by_service = {} if document is None else document.by_service
        return View(
            generation=0 if document is None else document.generation,
            rules_by_service={
                service: by_service[service]
                for service in services
                if service in by_service
            },
            members_by_service={
                service: self._route_members(service)
                for service in services
                if service in self.services
            },
        )

    def _route_members(self, service: str) -> list[RouteMember]:
        routes = [_route_of(member) for member in self.members(service)]
        own = self.view.own
        if service == own.service and not own.is_leaving:
            routes.append(_route_of(own))
        return routes

    def _take_bulletin(self, bulletin: Bulletin, at: float) -> None:
        received = BulletinReceived(bulletin)
        self._perform(self.view.handle(received, at))
        self._perform(self._election.handle(received, at))

    def _tick_spread(self, at: float) -> None:
        peers = self.view.peers_for_exchange(_EXCHANGE_PEERS)
        for peer in peers:
            self._outbox.know(peer.name, peer.address)
        ticked = SpreadTicked(
            peers=[peer.name for peer in peers],
            peers_by_service={
                service: [member.name for member in self.members(service)]
                for service in self.services
            },
        )
        self._perform(self._spread.handle(ticked, at))

    def _update_peers(self, at: float) -> None:
        service = self.identity.service
        self.peers.update(
            self.view.members_of(service),
            self.view.lately_departed(service),
            at,
        )

    def _perform(self, actions: Any) -> None:
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
        if self.has_list and action.service == self.identity.service:
            self._update_peers(now())

    @_act.register
    def _own_leave(self, action: OwnLeaveListed) -> None:
        self.leave()

    @_act.register
    def _read_list(self, action: ReadList) -> None:
        self.read_platform(action.is_watch)

    @_act.register
    def _send_message(self, action: SendMessage) -> None:
        self._outbox.to(action.peer).rules.append(action.message)

    @_act.register
    def _rules_changed(self, action: RulesChanged) -> None:
        _log.info('rules in force: %r', action.version)


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


def _route_of(member: Member | Announcement) -> RouteMember:
    return RouteMember(
        node=member.name,
        service=member.service,
        failure_domain=member.failure_domain,
        region=member.region,
        address=member.address,
        incarnation=member.incarnation,
        is_leaving=member.is_leaving,
    )


def _admin_of(member: Member) -> str:
    return member.admin_address or member.address


def _no_read(is_watch: bool) -> None:
    """Read nothing."""


def _no_leave() -> None:
    """Take no notice."""
