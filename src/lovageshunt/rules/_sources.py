"""Selects the peers from which the parts of a version are requested."""

from collections.abc import Sequence
from random import Random
from typing import Final

from lovageshunt.rules._events import RulesGossipTicked

#: Only the latest peers that announced a version are remembered.
_MAX_ANNOUNCERS: Final = 4
#: A round of requests ends once it has at least this many peers.
_TARGET_PEERS_PER_ROUND: Final = 4
#: The peers that are asked for the same part in one round.
_PEERS_PER_PART: Final = 2


class PartSources:
    """Selects random peers that are likely to hold the rules of a service.

    The reader of the document holds all parts, the members of a service hold
    its rules, and a peer that announced the version may hold them.
    """

    __slots__ = ('_rng', '_own_name', '_reader', '_announcers', '_requested')

    def __init__(self, rng: Random, own_name: str) -> None:
        self._rng = rng
        self._own_name = own_name
        self._reader = ''
        self._announcers: list[str] = []
        self._requested: set[str] = set()

    @property
    def reader(self) -> str:
        """Return the node that read the latest version; empty if unknown."""
        return self._reader

    def reset(self, reader: str) -> None:
        """Forget all peers and start over for another version."""
        self._reader = reader
        self._announcers.clear()
        self._requested.clear()

    def set_reader(self, reader: str) -> None:
        """Replace the reader; ignored if empty or unchanged."""
        if reader and reader != self._reader:
            self._reader = reader
            self._requested.discard(reader)

    def add_announcer(self, peer: str) -> None:
        """Remember a peer that knows the latest version."""
        if peer not in self._announcers:
            self._announcers.append(peer)
            del self._announcers[:-_MAX_ANNOUNCERS]

    def select(
        self,
        services: Sequence[str],
        last_tick: RulesGossipTicked,
    ) -> dict[str, list[str]]:
        """Return the services to request, by peer.

        The members of a service ask a reader first. Other nodes ask members
        first, so that a reader does not receive every request at once.
        """
        readers = {self._reader, *last_tick.readers}
        services_by_peer: dict[str, list[str]] = {}
        for service in self._rng.sample(services, len(services)):
            if len(services_by_peer) >= _TARGET_PEERS_PER_ROUND:
                break
            members = set(last_tick.peers_by_service.get(service, ()))
            for peer in self._select_peers(members, readers):
                services_by_peer.setdefault(peer, []).append(service)
        self._requested.update(services_by_peer)
        return services_by_peer

    def _select_peers(self, members: set[str], readers: set[str]) -> list[str]:
        excluded = {'', self._own_name}
        likely = self._likely_holders(members, readers) - excluded
        announcers = set(self._announcers) - excluded
        # Each is asked once before any is asked again. Who has announced the
        # version may hold parts that the likely holders have lost or never got.
        for candidates in (likely, announcers):
            unasked = candidates - self._requested
            if unasked:
                return self._sample(unasked)
        self._requested -= likely | announcers
        return self._sample(likely or announcers)

    def _sample(self, candidates: set[str]) -> list[str]:
        return self._rng.sample(
            sorted(candidates), min(_PEERS_PER_PART, len(candidates))
        )

    def _likely_holders(self, members: set[str], readers: set[str]) -> set[str]:
        if self._own_name in members and not readers & self._requested:
            return readers
        if self._own_name in members or members <= self._requested:
            return members | readers
        return members
