"""Conflicts: different documents published with the same generation."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.rules._version import Manifest, Version

#: The oldest conflict is discarded beyond this number.
_MAX_CONFLICTS: Final = 32


class Conflict(Record):
    """Two different documents of one generation.

    ``winner`` is the greater version. ``seen_at`` is when the conflict was
    detected, in seconds of the node's clock.
    """

    __slots__ = ('winner', 'loser', 'seen_at')

    def __init__(
        self,
        *,
        winner: Version,
        loser: Version,
        seen_at: float,
    ) -> None:
        self.winner = winner
        self.loser = loser
        self.seen_at = seen_at


class ConflictLog:
    """Bounded log of the latest conflicts, one entry a pair of documents."""

    __slots__ = ('_by_digests',)

    def __init__(self) -> None:
        self._by_digests: dict[frozenset[str], Conflict] = {}

    @property
    def conflicts(self) -> tuple[Conflict, ...]:
        """Return the conflicts in the order of detection."""
        return tuple(self._by_digests.values())

    def record_if_conflict(
        self,
        latest: Manifest | None,
        version: Version,
        now: float,
    ) -> bool:
        """Log ``version`` if it conflicts; return whether it does."""
        if latest is None or latest.version.generation != version.generation:
            return False
        latest_version = latest.version
        if latest_version.digest == version.digest:
            return False
        self._record(latest_version, version, now)
        return True

    def _record(
        self, latest_version: Version, version: Version, now: float
    ) -> None:
        digests = frozenset((latest_version.digest, version.digest))
        if digests in self._by_digests:
            return
        self._by_digests[digests] = Conflict(
            winner=max(latest_version, version),
            loser=min(latest_version, version),
            seen_at=now,
        )
        if len(self._by_digests) > _MAX_CONFLICTS:
            self._by_digests.pop(next(iter(self._by_digests)))
