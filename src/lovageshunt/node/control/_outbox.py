"""Batches updates into one envelope per peer until the next flush."""

from asyncio import Task, create_task, wait
from collections.abc import Callable

from lovageshunt.node.control._envelope import Envelope
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._peer_link import PeerLink

#: Called with a peer's name and the incarnation that answered, or an empty
#: string if there was no answer.
AnswerCallback = Callable[[str, str], None]


class PeerOutbox:
    """Holds a pending envelope for each peer that has updates to receive."""

    def __init__(self, identity: Identity, link: PeerLink) -> None:
        self._identity = identity
        self._link = link
        self._by_peer: dict[str, Envelope] = {}
        self._address_by_peer: dict[str, str] = {}
        self._sending: set[Task[None]] = set()
        self.on_answer: AnswerCallback = _ignore

    def set_address(self, peer: str, address: str) -> None:
        """Store a peer's admin address (IP:PORT)."""
        self._address_by_peer[peer] = address

    def address_of(self, peer: str) -> str | None:
        """Return a peer's admin address, if known."""
        return self._address_by_peer.get(peer)

    def envelope_to(self, peer: str) -> Envelope:
        """Return the envelope to be sent to a peer at the next flush."""
        envelope = self._by_peer.get(peer)
        if envelope is None:
            envelope = self.new_envelope()
            self._by_peer[peer] = envelope
        return envelope

    def new_envelope(self) -> Envelope:
        """Return an empty envelope with this node as its sender."""
        return Envelope(
            sender=self._identity.name,
            incarnation=self._identity.incarnation,
            address=self._identity.admin,
        )

    def flush(self) -> None:
        """Start to send every envelope; drop those without an address."""
        pending = self._by_peer
        self._by_peer = {}
        for peer, envelope in pending.items():
            address = self._address_by_peer.get(peer)
            if address is not None:
                task = create_task(self._send(peer, address, envelope))
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)

    async def drain(self) -> None:
        """Wait until every flushed envelope has been sent or has failed."""
        if self._sending:
            await wait(self._sending)

    async def _send(self, peer: str, address: str, envelope: Envelope) -> None:
        sent = await self._link.exchange(address, envelope)
        self.on_answer(peer, sent.default_value(''))


def _ignore(peer: str, incarnation: str) -> None:
    """Ignore an answer; stands in until a callback is attached."""
