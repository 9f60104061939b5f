"""A bounded sample of the fleet to exchange news with."""

from collections.abc import Iterable
from random import Random

from lovageshunt.membership._actions import Peer


class Contacts:
    """Peers of any service, sampled for each failure domain.

    Half of those drawn for an exchange are of the own failure domain, and
    the others of each other one in turn, so that a part of the fleet that
    was cut off hears the news within one exchange.
    """

    __slots__ = (
        '_own_failure_domain',
        '_per_failure_domain',
        '_rng',
        '_by_failure_domain',
        '_silent',
    )

    def __init__(
        self,
        own_failure_domain: str,
        per_failure_domain: int,
        rng: Random,
    ) -> None:
        """Know nobody yet."""
        self._own_failure_domain = own_failure_domain
        self._per_failure_domain = per_failure_domain
        self._rng = rng
        self._by_failure_domain: dict[str, dict[str, Peer]] = {}
        self._silent: set[str] = set()

    def __len__(self) -> int:
        """Return how many peers are known."""
        return sum(len(peers) for peers in self._by_failure_domain.values())

    def sample(self, peers: Iterable[Peer]) -> None:
        """Draw the sample anew from the whole fleet."""
        listed: dict[str, list[Peer]] = {}
        for peer in peers:
            listed.setdefault(peer.failure_domain, []).append(peer)
        self._silent.clear()
        self._by_failure_domain = {}
        for failure_domain, known in sorted(listed.items()):
            count = min(len(known), self._per_failure_domain)
            drawn = self._rng.sample(known, count)
            self._by_failure_domain[failure_domain] = {
                chosen.name: chosen for chosen in drawn
            }

    def add(self, peer: Peer) -> None:
        """Take in a new peer, in place of one drawn when there is no room."""
        known = self._by_failure_domain.setdefault(peer.failure_domain, {})
        self._silent.discard(peer.name)
        if peer.name not in known and len(known) >= self._per_failure_domain:
            replaced = self._rng.choice(sorted(known))
            known.pop(replaced)
            self._silent.discard(replaced)
        known[peer.name] = peer

    def remove(self, name: str) -> None:
        """Drop a peer that left."""
        self._silent.discard(name)
        for known in self._by_failure_domain.values():
            known.pop(name, None)

    def silence(self, name: str) -> None:
        """Pass a peer over while others answer."""
        if any(name in peers for peers in self._by_failure_domain.values()):
            self._silent.add(name)

    def answer(self, name: str) -> None:
        """Take a peer up again."""
        self._silent.discard(name)

    def forget_signs(self) -> None:
        """Take every peer up again after a pause."""
        self._silent.clear()

    def draw(self, count: int) -> list[Peer]:
        """Return up to ``count`` peers, half of the own failure domain."""
        own = self._shuffled(self._own_failure_domain)
        others = self._others()
        half = count - count // 2
        near = own[: max(half, count - len(others))]
        return near + others[: count - len(near)]

    def _others(self) -> list[Peer]:
        """Return the peers of other failure domains, one of each in turn."""
        domains = [
            self._shuffled(failure_domain)
            for failure_domain in self._by_failure_domain
            if failure_domain != self._own_failure_domain
        ]
        self._rng.shuffle(domains)
        longest = max((len(peers) for peers in domains), default=0)
        return [
            peers[turn]
            for turn in range(longest)
            for peers in domains
            if turn < len(peers)
        ]

    def _shuffled(self, failure_domain: str) -> list[Peer]:
        known = self._by_failure_domain.get(failure_domain, {})
        peers = [
            peer for peer in known.values() if peer.name not in self._silent
        ]
        # When all are silent, the own picture is more likely at fault.
        peers = peers or list(known.values())
        self._rng.shuffle(peers)
        return peers
