"""A bounded sample of the fleet to exchange membership messages with."""

from collections.abc import Iterable
from random import Random

from lovageshunt.membership._actions import Peer


class PeerSample:
    """Peers of any service, up to a maximum for each failure domain.

    Half of the peers drawn for an exchange are in the own failure domain, the
    rest rotate through the other domains, so that a part of the fleet that was
    cut off catches up within one exchange.
    """

    __slots__ = (
        '_own_failure_domain',
        '_max_per_failure_domain',
        '_rng',
        '_by_failure_domain',
        '_silent',
    )

    def __init__(
        self,
        own_failure_domain: str,
        max_per_failure_domain: int,
        rng: Random,
    ) -> None:
        self._own_failure_domain = own_failure_domain
        self._max_per_failure_domain = max_per_failure_domain
        self._rng = rng
        self._by_failure_domain: dict[str, dict[str, Peer]] = {}
        self._silent: set[str] = set()

    def __len__(self) -> int:
        return sum(len(peers) for peers in self._by_failure_domain.values())

    def resample(self, peers: Iterable[Peer]) -> None:
        """Replace the sample by a random one of ``peers``, the whole fleet."""
        listed: dict[str, list[Peer]] = {}
        for peer in peers:
            listed.setdefault(peer.failure_domain, []).append(peer)
        self._silent.clear()
        self._by_failure_domain = {}
        for failure_domain, peer_by_name in sorted(listed.items()):
            count = min(len(peer_by_name), self._max_per_failure_domain)
            drawn = self._rng.sample(peer_by_name, count)
            self._by_failure_domain[failure_domain] = {
                chosen.name: chosen for chosen in drawn
            }

    def add(self, peer: Peer) -> None:
        """Add a peer; evict a random one if its failure domain is full."""
        peer_by_name = self._by_failure_domain.setdefault(
            peer.failure_domain, {}
        )
        self._silent.discard(peer.name)
        if (
            peer.name not in peer_by_name
            and len(peer_by_name) >= self._max_per_failure_domain
        ):
            replaced = self._rng.choice(sorted(peer_by_name))
            peer_by_name.pop(replaced)
            self._silent.discard(replaced)
        peer_by_name[peer.name] = peer

    def remove(self, name: str) -> None:
        self._silent.discard(name)
        for peer_by_name in self._by_failure_domain.values():
            peer_by_name.pop(name, None)

    def mark_silent(self, name: str) -> None:
        """Skip a peer in draws while others of its domain answer."""
        if any(name in peers for peers in self._by_failure_domain.values()):
            self._silent.add(name)

    def mark_answered(self, name: str) -> None:
        """Include a peer in draws again."""
        self._silent.discard(name)

    def clear_silent(self) -> None:
        """Include every peer in draws again, as after a process pause."""
        self._silent.clear()

    def draw(self, count: int) -> list[Peer]:
        """Return up to ``count`` peers, half in the own failure domain."""
        own = self._shuffled(self._own_failure_domain)
        others = self._others()
        half = count - count // 2
        nearby = own[: max(half, count - len(others))]
        return nearby + others[: count - len(nearby)]

    def _others(self) -> list[Peer]:
        """Return peers of other failure domains in round-robin order."""
        domains = [
            self._shuffled(failure_domain)
            for failure_domain in self._by_failure_domain
            if failure_domain != self._own_failure_domain
        ]
        self._rng.shuffle(domains)
        max_length = max((len(peers) for peers in domains), default=0)
        return [
            peers[turn]
            for turn in range(max_length)
            for peers in domains
            if turn < len(peers)
        ]

    def _shuffled(self, failure_domain: str) -> list[Peer]:
        peer_by_name = self._by_failure_domain.get(failure_domain, {})
        peers = [
            peer
            for peer in peer_by_name.values()
            if peer.name not in self._silent
        ]
        # If every peer seems silent, this node's view is the likelier fault.
        peers = peers or list(peer_by_name.values())
        self._rng.shuffle(peers)
        return peers
