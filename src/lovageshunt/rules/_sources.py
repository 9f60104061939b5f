"""Whom to ask for the parts of a version."""

from collections.abc import Sequence
from random import Random
from typing import Final

from lovageshunt.rules._events import RulesGossipTicked

#: How many of those who told a version are remembered.
_MAX_TELLERS: Final = 4
#: At about this many peers a round of questions ends.
_MAX_ASKED: Final = 4
#: How many peers are asked for the same part at once.
_PEERS: Final = 2


class Sources:
    """Draws a peer that is likely to hold the rules of a service.

    The reader of the document holds all of it, the members of a service
    hold its rules, and whoever told the version may.
    """

    __slots__ = ('_rng', '_own_name', '_reader', '_tellers', '_asked')

    def __init__(self, rng: Random, own_name: str) -> None:
        """Start without any."""
        self._rng = rng
        self._own_name = own_name
        self._reader = ''
        self._tellers: list[str] = []
        self._asked: set[str] = set()

    @property
    def reader(self) -> str:
        """Return the node that read the greatest version, if known."""
        return self._reader

    def start(self, reader: str) -> None:
        """Begin anew for another version."""
        self._reader = reader
        self._tellers.clear()
        self._asked.clear()

    def note_reader(self, reader: str) -> None:
        """Take another node that read the version."""
        if reader and reader != self._reader:
            self._reader = reader
            self._asked.discard(reader)

    def note_teller(self, peer: str) -> None:
        """Remember a peer that knows the version."""
        if peer not in self._tellers:
            self._tellers.append(peer)
            del self._tellers[:-_MAX_TELLERS]

    def choose(
        self,
        services: Sequence[str],
        ticked: RulesGossipTicked,
    ) -> dict[str, list[str]]:
        """Return the services to ask for, by the peer to ask.

        The members of a service ask a reader first; the others ask members,
        so that a reader is not asked by everyone at once.
        """
        readers = {self._reader, *ticked.readers}
        services_by_peer: dict[str, list[str]] = {}
        for service in self._rng.sample(services, len(services)):
            if len(services_by_peer) >= _MAX_ASKED:
                break
            members = set(ticked.peers_by_service.get(service, ()))
            for peer in self._choose_some(members, readers):
                services_by_peer.setdefault(peer, []).append(service)
        self._asked.update(services_by_peer)
        return services_by_peer

    def _choose_some(self, members: set[str], readers: set[str]) -> list[str]:
        nobody = {'', self._own_name}
        known = self._holders(members, readers) - nobody
        known = known or set(self._tellers)
        # Each is asked once before any is asked again.
        fresh = known - self._asked
        if not fresh:
            self._asked -= known
        candidates = sorted(fresh or known)
        return self._rng.sample(candidates, min(_PEERS, len(candidates)))

    def _holders(self, members: set[str], readers: set[str]) -> set[str]:
        if self._own_name in members and not readers & self._asked:
            return readers
        if self._own_name in members or members <= self._asked:
            return members | readers
        return members
