"""Gathers what is to be told to peers, and sends it once a turn."""

from asyncio import Task, create_task, wait
from collections.abc import Callable

from lovageshunt.node.control._envelope import Envelope
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._peer_link import PeerLink

#: Called with a peer's name and the incarnation that answered, empty if none
#: did.
Heard = Callable[[str, str], None]


class PeerOutbox:
    """One envelope for each peer that something is to be told to."""

    def __init__(self, identity: Identity, link: PeerLink) -> None:
        """Begin with nothing to tell."""
        self._identity = identity
        self._link = link
        self._by_peer: dict[str, Envelope] = {}
        self._address_by_peer: dict[str, str] = {}
        self._sending: set[Task[None]] = set()
        self.heard: Heard = _ignore

    def know(self, peer: str, address: str) -> None:
        """Note a peer's admin address."""
        self._address_by_peer[peer] = address

    def address_of(self, peer: str) -> str | None:
        """Return a peer's admin address, if it is known."""
        return self._address_by_peer.get(peer)

    def to(self, peer: str) -> Envelope:
        """Return the envelope that goes to a peer at the next flush."""
        envelope = self._by_peer.get(peer)
        if envelope is None:
            envelope = self.blank()
            self._by_peer[peer] = envelope
        return envelope

    def blank(self) -> Envelope:
        """Return an empty envelope of this node."""
        return Envelope(
            sender=self._identity.name,
            incarnation=self._identity.incarnation,
            address=self._identity.admin,
        )

    def flush(self) -> None:
        """Send every envelope; an unknown address drops it."""
        waiting = self._by_peer
        self._by_peer = {}
        for peer, envelope in waiting.items():
            address = self._address_by_peer.get(peer)
            if address is not None:
                task = create_task(self._send(peer, address, envelope))
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)

    async def drain(self) -> None:
        """Wait until what was flushed has been sent, or given up on."""
        if self._sending:
            await wait(self._sending)

    async def _send(self, peer: str, address: str, envelope: Envelope) -> None:
        sent = await self._link.exchange(address, envelope)
        self.heard(peer, sent.default_value(''))


def _ignore(peer: str, incarnation: str) -> None:
    """Take no notice of an answer."""
