"""The node's part in the fleet: members, rules, and exchange with peers."""

from collections.abc import Callable, Iterable
from logging import getLogger
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.account import AccountPeer, SendSnapshot
from lovageshunt.client import View
from lovageshunt.clock import now
from lovageshunt.membership import (
    Announcement,
    BulletinReceived,
    DigestReceived,
    Member,
    MembershipTicked,
    PeerAnswered,
    PeerSilent,
)
from lovageshunt.node.control._envelope import Envelope
from lovageshunt.node.control._fleet_view import FleetView
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._outbox import Outbox
from lovageshunt.retries import SuspectReport
from lovageshunt.routing import RouteMember
from lovageshunt.rules import (
    DocumentRead,
    MessageReceived,
    ReadDocument,
    RulesInForce,
    SendMessage,
    Spread,
    SpreadEvent,
    SpreadSettings,
    SpreadTicked,
)

#: Peers that rules are exchanged with in one turn.
_EXCHANGE_PEERS: Final = 6
_log = getLogger(__name__)


class Control:
    """Joins the view of the fleet and the rules to one exchange with peers."""

    def __init__(
        self,
        *,
        identity: Identity,
        called_services: tuple[str, ...],
        fleet: FleetView,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        """Begin without rules."""
        needed = frozenset((identity.service, *called_services))
        self.identity = identity
        self.services = tuple(sorted(needed))
        self.rules = RulesInForce(needed)
        self.fleet = fleet
        self._outbox = outbox
        self._outbox.heard = self.heard
        #: Called to read the rules from the platform once.
        self.read_rules: Callable[[], None] = _no_read
        self._spread = Spread(
            rng,
            SpreadSettings(name=identity.name),
            self.rules,
        )

    def tick(self) -> None:
        """Let time pass, then send what has gathered."""
        self.fleet.tell(MembershipTicked())
        peers = self.fleet.exchange_peers(_EXCHANGE_PEERS)
        ticked = SpreadTicked(
            peers=[peer.name for peer in peers],
            peers_by_service={
                service: [member.name for member in self.members(service)]
                for service in self.services
            },
            readers=self.fleet.readers,
        )
        self._spread_event(ticked)
        self._outbox.flush()

    def tell(self, event: Record) -> None:
        """Take an event of the platform or of a pause."""
        if isinstance(event, DocumentRead):
            self._spread_event(event)
            return
        self.fleet.tell(event)

    def take(self, envelope: Envelope) -> None:
        """Take what a peer sent."""
        self._outbox.know(envelope.sender, envelope.address)
        self.heard(envelope.sender, envelope.incarnation)
        for message in envelope.rules:
            received = MessageReceived(peer=envelope.sender, message=message)
            self._spread_event(received)
        for bulletin in envelope.bulletins:
            self.fleet.tell(BulletinReceived(bulletin))
        if envelope.digest is not None:
            self.fleet.tell(DigestReceived(envelope.digest))

    def heard(self, peer: str, incarnation: str) -> None:
        """Note that a peer answered, or that it did not."""
        event: Record = PeerSilent(peer)
        if incarnation:
            event = PeerAnswered(peer, incarnation)
        self.fleet.tell(event)

    async def drain(self) -> None:
        """Wait until everything that was to be told has been sent."""
        await self._outbox.drain()

    def begin_leave(self) -> None:
        """Announce that this node leaves."""
        self.fleet.begin_leave()
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

    def keeping_peers(self) -> list[AccountPeer]:
        """Return the nodes that may keep accounts."""
        return [
            AccountPeer(
                node=member.name,
                incarnation=member.incarnation,
                failure_domain=member.failure_domain,
            )
            for service in self.services
            for member in self.members(service)
        ]

    def members(self, service: str) -> list[Member]:
        """Return the other members of a service."""
        return self.fleet.members(service)

    def admin_address(self, node: str) -> str | None:
        """Return where a node takes exchange, if it is known."""
        return self._outbox.address_of(node)

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
        own = self.fleet.own
        if service == own.service and not own.is_leaving:
            routes.append(_route_of(own))
        return routes

    def _spread_event(self, event: SpreadEvent) -> None:
        for action in self._spread.handle(event, now()):
            if isinstance(action, SendMessage):
                self._outbox.to(action.peer).rules.append(action.message)
            elif isinstance(action, ReadDocument):
                self.read_rules()
            else:
                _log.info('rules in force: %r', action.version)


def _no_read() -> None:
    """Read nothing, before there is a platform."""


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
