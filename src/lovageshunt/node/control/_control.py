"""Spreads membership and rules by periodic exchange with peers."""

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
from lovageshunt.node.control._outbox import PeerOutbox
from lovageshunt.retries import SuspectReport
from lovageshunt.routing import RouteMember
from lovageshunt.rules import (
    DocumentRead,
    MessageReceived,
    ReadDocument,
    RulesGossip,
    RulesGossipEvent,
    RulesGossipSettings,
    RulesGossipTicked,
    RulesInForce,
    SendMessage,
)

#: Number of peers that rules are exchanged with per tick.
_EXCHANGE_PEERS: Final = 6
_log = getLogger(__name__)


class Control:
    """Sends membership, rules and reports to peers in shared envelopes.

    ``services`` are the node's own service and those that it calls, whose
    rules and members it follows.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        called_services: tuple[str, ...],
        fleet: FleetView,
        outbox: PeerOutbox,
        rng: Random,
    ) -> None:
        services = frozenset((identity.service, *called_services))
        self.identity = identity
        self.services = tuple(sorted(services))
        self.rules = RulesInForce(services)
        self.fleet = fleet
        self._outbox = outbox
        self._outbox.on_answer = self.record_answer
        #: Callback that starts one read of the rules from the platform.
        self.read_rules: Callable[[], None] = _no_read
        self._spread = RulesGossip(
            rng,
            RulesGossipSettings(name=identity.name),
            self.rules,
        )

    def tick(self) -> None:
        """Run the periodic decisions, then send the pending envelopes."""
        self.fleet.handle_event(MembershipTicked())
        peers = self.fleet.exchange_peers(_EXCHANGE_PEERS)
        ticked = RulesGossipTicked(
            peers=[peer.name for peer in peers],
            peers_by_service={
                service: [member.name for member in self.members(service)]
                for service in self.services
            },
            readers=self.fleet.readers,
        )
        self._handle_rules_event(ticked)
        self._outbox.flush()

    def handle_event(self, event: Record) -> None:
        """Handle an event of the platform, or the end of a pause."""
        if isinstance(event, DocumentRead):
            self._handle_rules_event(event)
            return
        self.fleet.handle_event(event)

    def receive_envelope(self, envelope: Envelope) -> None:
        """Process a peer's envelope, except its suspects and snapshots."""
        self._outbox.set_address(envelope.sender, envelope.address)
        self.record_answer(envelope.sender, envelope.incarnation)
        for message in envelope.rules:
            received = MessageReceived(peer=envelope.sender, message=message)
            self._handle_rules_event(received)
        for bulletin in envelope.bulletins:
            self.fleet.handle_event(BulletinReceived(bulletin))
        if envelope.digest is not None:
            self.fleet.handle_event(DigestReceived(envelope.digest))

    def record_answer(self, peer: str, incarnation: str) -> None:
        """Record a peer's answer; an empty incarnation means there was none."""
        event: Record = PeerSilent(peer)
        if incarnation:
            event = PeerAnswered(peer, incarnation)
        self.fleet.handle_event(event)

    async def drain(self) -> None:
        """Wait until every flushed envelope has been sent or has failed."""
        await self._outbox.drain()

    def begin_leave(self) -> None:
        """Announce to peers that this node leaves."""
        self.fleet.begin_leave()
        self._outbox.flush()

    def report_suspects(self, reports: tuple[SuspectReport, ...]) -> None:
        """Report suspects to every node of the own service, without delay."""
        for member in self.members(self.identity.service):
            self._outbox.envelope_to(member.name).suspects.extend(reports)
        self._outbox.flush()

    def send_snapshots(self, sends: Iterable[SendSnapshot]) -> None:
        """Send account snapshots to the peers that store them."""
        for send in sends:
            self._outbox.envelope_to(send.to_node).snapshots.append(send.raw)
        self._outbox.flush()

    def account_peers(self) -> list[AccountPeer]:
        """Return the nodes that may store account snapshots."""
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
        """Return a node's admin address (IP:PORT), if known."""
        return self._outbox.address_of(node)

    def client_view(self, services: tuple[str, ...]) -> View:
        """Return the rules and members that a client needs for services.

        Services that this node neither serves nor calls are omitted.
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

    def _handle_rules_event(self, event: RulesGossipEvent) -> None:
        for action in self._spread.handle(event, now()):
            if isinstance(action, SendMessage):
                self._outbox.envelope_to(action.peer).rules.append(
                    action.message
                )
            elif isinstance(action, ReadDocument):
                self.read_rules()
            else:
                _log.info('rules in force are now %r', action.version)


def _no_read() -> None:
    """Do nothing; stands in until a platform reader is attached."""


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
