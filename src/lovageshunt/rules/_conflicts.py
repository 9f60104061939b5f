"""Documents that share a generation, as operators who raced leave them."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.rules._version import Manifest, Version

#: How many conflicts are kept on record.
_MAX_CONFLICTS: Final = 32


class Conflict(Record):
    """Two documents of one generation; the greater version won."""

    __slots__ = ('winner', 'loser', 'seen_at')

    def __init__(
        self,
        *,
        winner: Version,
        loser: Version,
        seen_at: float,
    ) -> None:
        """Name both versions and when the second was heard."""
        self.winner = winner
        self.loser = loser
        self.seen_at = seen_at


class ConflictLog:
    """The latest conflicts, each pair of documents once."""

    __slots__ = ('_by_digests',)

    def __init__(self) -> None:
        """Start without any."""
        self._by_digests: dict[frozenset[str], Conflict] = {}

    @property
    def conflicts(self) -> tuple[Conflict, ...]:
        """Return the conflicts, the oldest first."""
        return tuple(self._by_digests.values())

    def compare(
        self,
        heard: Manifest | None,
        version: Version,
        now: float,
    ) -> bool:
        """Record a version that contradicts the one heard; say if it does."""
        if heard is None or heard.version.generation != version.generation:
            return False
        known = heard.version
        if known.digest == version.digest:
            return False
        self._record(known, version, now)
        return True

    def _record(self, known: Version, version: Version, now: float) -> None:
        digests = frozenset((known.digest, version.digest))
        if digests in self._by_digests:
            return
        self._by_digests[digests] = Conflict(
            winner=max(known, version),
            loser=min(known, version),
            seen_at=now,
        )
        if len(self._by_digests) > _MAX_CONFLICTS:
            self._by_digests.pop(next(iter(self._by_digests)))
