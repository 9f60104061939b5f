"""The accounts of others that a node keeps in its memory."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.account._snapshot import (
    AccountKey,
    AccountSnapshot,
    Role,
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


class SnapshotStore:
    """A bounded memory of others' accounts; ``forgotten`` counts the dropped.

    The wire form is kept, because it takes a fraction of the memory.
    """

    __slots__ = ('forgotten', '_kept_by_owner')

    def __init__(self) -> None:
        """Start with nothing."""
        self.forgotten = 0
        self._kept_by_owner: dict[AccountKey, KeptSnapshot] = {}

    def __contains__(self, account_key: AccountKey) -> bool:
        """Say whether an account is kept."""
        return account_key in self._kept_by_owner

    def keep(self, snapshot: AccountSnapshot, now: float) -> None:
        """Keep a snapshot unless a newer one of its life is kept."""
        account_key = snapshot.account_key
        held = self._kept_by_owner.get(account_key)
        if held and held.sequence >= snapshot.sequence:
            return
        self._kept_by_owner[account_key] = KeptSnapshot(
            raw=encode_snapshot(snapshot),
            sequence=snapshot.sequence,
            taken_at=snapshot.taken_at,
            heard_at=now,
            is_final=snapshot.is_final,
        )
        if len(self._kept_by_owner) > MAX_KEPT:
            self._forget(self._oldest())

    def drop_old(self, now: float) -> None:
        """Drop what is older than a day and a little."""
        old = [
            account_key
            for account_key, kept in self._kept_by_owner.items()
            if now - kept.heard_at > MAX_KEPT_SECONDS
        ]
        for account_key in old:
            self._forget(account_key)

    def quiet_since(self, moment: float) -> list[tuple[AccountKey, bytes]]:
        """Return those that are final or were last heard before ``moment``."""
        return [
            (account_key, kept.raw)
            for account_key, kept in self._kept_by_owner.items()
            if kept.is_final or kept.heard_at < moment
        ]

    def snapshots(self, role: Role) -> list[AccountSnapshot]:
        """Return what is kept of one role, ordered by node."""
        kept = self._kept_by_owner
        return [
            decode_snapshot(kept[account_key].raw)
            for account_key in sorted(kept)
            if account_key[0] is role
        ]

    def _oldest(self) -> AccountKey:
        kept = self._kept_by_owner
        return min(
            kept,
            key=lambda account_key: (kept[account_key].heard_at, account_key),
        )

    def _forget(self, account_key: AccountKey) -> None:
        self._kept_by_owner.pop(account_key)
        self.forgotten += 1
