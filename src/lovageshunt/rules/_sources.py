"""Whom to ask for the parts of a version."""

from collections.abc import Sequence
from random import Random
from typing import Final

#: How many of those who told a version are remembered.
_MAX_TELLERS: Final = 4


class Sources:
    """Draws a peer that is likely to hold the rules of a service.

    The reader of the document holds all of it, the members of a service
    hold its rules, and whoever told the version may.
    """

    __slots__ = ('_rng', '_own_name', '_reader', '_tellers', '_is_first')

    def __init__(self, rng: Random, own_name: str) -> None:
        """Start without any."""
        self._rng = rng
        self._own_name = own_name
        self._reader = ''
        self._tellers: list[str] = []
        self._is_first = True

    @property
    def reader(self) -> str:
        """Return the node that read the greatest version, if known."""
        return self._reader

    def start(self, reader: str) -> None:
        """Begin anew for another version."""
        self._reader = reader
        self._tellers.clear()
        self._is_first = True

    def note_teller(self, peer: str) -> None:
        """Remember a peer that knows the version."""
        if peer not in self._tellers:
            self._tellers.append(peer)
            del self._tellers[:-_MAX_TELLERS]

    def choose(
        self,
        services: Sequence[str],
        members_by_service: dict[str, Sequence[str]],
    ) -> dict[str, list[str]]:
        """Return the services to ask for, by the peer to ask.

        The reader is asked first, as it surely holds them; later the
        members share the work.
        """
        services_by_peer: dict[str, list[str]] = {}
        for service in services:
            members = members_by_service.get(service, ())
            peer = self._choose_one(members)
            if peer:
                services_by_peer.setdefault(peer, []).append(service)
        self._is_first = False
        return services_by_peer

    def _choose_one(self, members: Sequence[str]) -> str:
        if self._is_first and self._reader not in {'', self._own_name}:
            return self._reader
        known = [*members, *self._tellers, self._reader]
        others = [peer for peer in known if peer not in {'', self._own_name}]
        return self._rng.choice(others) if others else ''
