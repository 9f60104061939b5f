"""Tracks members and peers, and takes part in the reader election."""

from collections.abc import Callable, Iterable
from logging import getLogger
from random import Random

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt._record import Record
from lovageshunt.clock import now
from lovageshunt.membership import (
    Announcement,
    LeaveStarted,
    Member,
    MembersChanged,
    MembershipView,
    OwnLeaveListed,
    Peer,
    Probe,
    ReaderElection,
    ReadVmList,
    SendBulletin,
    SendDigest,
    VmListReadFailed,
    VmListReceived,
)
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._outbox import PeerOutbox
from lovageshunt.node.control._service_peers import ServicePeers

_log = getLogger(__name__)


class FleetView:
    """Drives the membership view and the platform reader election.

    Their actions are sent to peers through the outbox, or start a platform
    read. ``peers`` are the other nodes of the own service.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        called_services: tuple[str, ...],
        election: ReaderElection,
        outbox: PeerOutbox,
        rng: Random,
    ) -> None:
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
        #: Callbacks: read or watch (true) the platform; this VM was listed as
        #: leaving.
        self.read_platform: Callable[[bool], None] = _no_read
        self.leave: Callable[[], None] = _no_leave

    @property
    def own(self) -> Announcement:
        """Return the announcement that this node spreads about itself."""
        return self._view.own

    def handle_event(self, event: Record) -> None:
        """Handle an event: platform, peer, tick, or the end of a pause."""
        at = now()
        # The election handles each event first: the view answers a digest,
        # and may skip parts that only the election needs.
        self._perform(self._election.handle(event, at))
        if isinstance(event, VmListReadFailed):
            return
        self._perform(self._view.handle(event, at))
        self._has_list = self._has_list or isinstance(event, VmListReceived)
        # An incarnation can change while the set of members stays the same,
        # so the run-once table's peers are updated after every event.
        self._update_peers(at)

    def begin_leave(self) -> None:
        """Queue announcements that this node leaves."""
        self._perform(self._view.handle(LeaveStarted(), now()))

    def members(self, service: str) -> list[Member]:
        """Return the other members of a service; store their addresses."""
        members = list(self._view.members_of(service))
        for member in members:
            self._outbox.set_address(member.name, _admin_address_of(member))
        return members

    def platform_age_seconds(self) -> float:
        """Return the seconds since the platform's last known answer.

        Negative while no answer is known.
        """
        return self._election.platform_answer_age_seconds(now())

    @property
    def readers(self) -> list[str]:
        """Return the other platform readers in the own failure domain."""
        own = self._identity.name
        return [name for name in self._election.readers if name != own]

    def exchange_peers(self, count: int) -> list[Peer]:
        """Choose peers for an exchange; store their addresses."""
        peers = self._view.peers_for_exchange(count)
        for peer in peers:
            self._outbox.set_address(peer.name, peer.address)
        return peers

    def ingress_address(self, node: str) -> str | None:
        """Return the ingress address of a node of the own service.

        Recently departed nodes are included.
        """
        service = self._identity.service
        known = (*self.members(service), *self._view.recently_departed(service))
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
            self._view.recently_departed(service),
            at,
        )

    def _perform(self, actions: Iterable[Record]) -> None:
        for action in actions:
            self._act(action)

    @DispatchedMethod
    def _act(self, action: Record) -> None:
        _log.error('no handler for the action %r; it is dropped', action)

    @_act.register
    def _announce(self, action: SendBulletin) -> None:
        self._outbox.set_address(action.peer.name, action.peer.address)
        self._outbox.envelope_to(action.peer.name).bulletins.append(
            action.bulletin
        )

    @_act.register
    def _send_digest(self, action: SendDigest) -> None:
        self._outbox.set_address(action.peer.name, action.peer.address)
        self._outbox.envelope_to(action.peer.name).digest = action.digest

    @_act.register
    def _probe(self, action: Probe) -> None:
        # An empty envelope is a probe: the answer contains the incarnation.
        self._outbox.envelope_to(action.name)

    @_act.register
    def _members_changed(self, action: MembersChanged) -> None:
        _log.debug('the members of %s changed', action.service)

    @_act.register
    def _own_leave(self, action: OwnLeaveListed) -> None:
        self.leave()

    @_act.register
    def _read_list(self, action: ReadVmList) -> None:
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


def _admin_address_of(member: Member) -> str:
    return member.admin_address or member.address


def _no_read(is_watch: bool) -> None:
    """Do nothing; stands in until a platform reader is attached."""


def _no_leave() -> None:
    """Do nothing; stands in until the runtime is attached."""
