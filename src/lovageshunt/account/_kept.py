"""The accounts of others that a node keeps in its memory."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.account._merge import IncarnationKey
from lovageshunt.account._snapshot import (
    AccountSnapshot,
    decode_snapshot,
    encode_snapshot,
)

#: Accounts kept at most; the oldest make room.
MAX_KEPT: Final = 64
#: Accounts older than this are dropped: the parent asks every day.
MAX_KEPT_SECONDS: Final = 26 * 3600


class KeptSnapshot(Record):
    """The newest snapshot of an incarnation in its wire form."""

    __slots__ = ('raw', 'sequence', 'taken_at', 'heard_at', 'is_final')

    def __init__(
        self,
        *,
        raw: bytes,
        sequence: int,
        taken_at: float,
        heard_at: float,
        is_final: bool,
    ) -> None:
        """Take the wire form and what orders it.

        ``taken_at`` is on the clock of its node and ``heard_at`` on that of
        the keeper, both in seconds.
        """
        self.raw = raw
        self.sequence = sequence
        self.taken_at = taken_at
        self.heard_at = heard_at
        self.is_final = is_final


class KeptSnapshots:
    """A bounded memory of others' accounts; ``forgotten`` counts the dropped.

    The wire form is kept, because it takes a fraction of the memory.
    """

    __slots__ = ('forgotten', '_kept_by_incarnation')

    def __init__(self) -> None:
        """Start with nothing."""
        self.forgotten = 0
        self._kept_by_incarnation: dict[IncarnationKey, KeptSnapshot] = {}

    def __contains__(self, key: IncarnationKey) -> bool:
        """Say whether anything of an incarnation is kept."""
        return key in self._kept_by_incarnation

    def keep(self, snapshot: AccountSnapshot, now: float) -> None:
        """Keep a snapshot unless a newer one of its life is kept."""
        key = (snapshot.node, snapshot.incarnation)
        held = self._kept_by_incarnation.get(key)
        if held and held.sequence >= snapshot.sequence:
            return
        self._kept_by_incarnation[key] = KeptSnapshot(
            raw=encode_snapshot(snapshot),
            sequence=snapshot.sequence,
            taken_at=snapshot.taken_at,
            heard_at=now,
            is_final=snapshot.is_final,
        )
        if len(self._kept_by_incarnation) > MAX_KEPT:
            self._forget(self._oldest())

    def drop_old(self, now: float) -> None:
        """Drop what is older than a day and a little."""
        old = [
            key
            for key, kept in self._kept_by_incarnation.items()
            if now - kept.heard_at > MAX_KEPT_SECONDS
        ]
        for key in old:
            self._forget(key)

    def quiet_since(self, moment: float) -> list[tuple[IncarnationKey, bytes]]:
        """Return those that are final or were last heard before ``moment``."""
        return [
            (key, kept.raw)
            for key, kept in self._kept_by_incarnation.items()
            if kept.is_final or kept.heard_at < moment
        ]

    def snapshots(self) -> list[AccountSnapshot]:
        """Return all that is kept, ordered by node and incarnation."""
        kept = self._kept_by_incarnation
        return [decode_snapshot(kept[key].raw) for key in sorted(kept)]

    def _oldest(self) -> IncarnationKey:
        kept = self._kept_by_incarnation
        return min(kept, key=lambda key: (kept[key].heard_at, key))

    def _forget(self, key: IncarnationKey) -> None:
        self._kept_by_incarnation.pop(key)
        self.forgotten += 1
