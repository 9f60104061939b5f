"""In-memory store of the account snapshots of other nodes."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.account._snapshot import (
    AccountKey,
    AccountSnapshot,
    Role,
    decode_snapshot,
    encode_snapshot,
)

#: Maximum number of stored accounts; the least recently updated is evicted.
MAX_SNAPSHOTS: Final = 64
#: Accounts not updated for longer are dropped; they are collected daily.
MAX_AGE_SECONDS: Final = 26 * 3600


class StoredSnapshot(Record):
    """The newest snapshot of an incarnation, encoded, and its ordering keys.

    ``taken_at`` is on the clock of the snapshot's node and ``received_at`` on
    that of the storing node, both in seconds.
    """

    __slots__ = ('raw', 'sequence', 'taken_at', 'received_at', 'is_final')

    def __init__(
        self,
        *,
        raw: bytes,
        sequence: int,
        taken_at: float,
        received_at: float,
        is_final: bool,
    ) -> None:
        self.raw = raw
        self.sequence = sequence
        self.taken_at = taken_at
        self.received_at = received_at
        self.is_final = is_final


class SnapshotStore:
    """Bounded store of other nodes' accounts, by incarnation.

    ``dropped`` is the number of accounts dropped so far. Snapshots are
    stored encoded, which takes a fraction of the memory.
    """

    __slots__ = ('dropped', '_stored_by_key')

    def __init__(self) -> None:
        self.dropped = 0
        self._stored_by_key: dict[AccountKey, StoredSnapshot] = {}

    def __contains__(self, account_key: AccountKey) -> bool:
        return account_key in self._stored_by_key

    def add(self, snapshot: AccountSnapshot, now: float) -> None:
        """Store a snapshot unless the stored one is as recent."""
        account_key = snapshot.account_key
        held = self._stored_by_key.get(account_key)
        if held and held.sequence >= snapshot.sequence:
            return
        self._stored_by_key[account_key] = StoredSnapshot(
            raw=encode_snapshot(snapshot),
            sequence=snapshot.sequence,
            taken_at=snapshot.taken_at,
            received_at=now,
            is_final=snapshot.is_final,
        )
        if len(self._stored_by_key) > MAX_SNAPSHOTS:
            self._drop(self._oldest())

    def drop_expired(self, now: float) -> None:
        """Drop accounts not updated for ``MAX_AGE_SECONDS``."""
        expired = [
            account_key
            for account_key, stored in self._stored_by_key.items()
            if now - stored.received_at > MAX_AGE_SECONDS
        ]
        for account_key in expired:
            self._drop(account_key)

    def final_or_older_than(
        self, received_before: float
    ) -> list[tuple[AccountKey, bytes]]:
        """Return the encoded accounts that are final or not updated since."""
        return [
            (account_key, stored.raw)
            for account_key, stored in self._stored_by_key.items()
            if stored.is_final or stored.received_at < received_before
        ]

    def snapshots(self, role: Role) -> list[AccountSnapshot]:
        """Return the snapshots of one role, ordered by node."""
        stored = self._stored_by_key
        return [
            decode_snapshot(stored[account_key].raw)
            for account_key in sorted(stored)
            if account_key[0] is role
        ]

    def _oldest(self) -> AccountKey:
        stored = self._stored_by_key
        return min(
            stored,
            key=lambda account_key: (
                stored[account_key].received_at,
                account_key,
            ),
        )

    def _drop(self, account_key: AccountKey) -> None:
        self._stored_by_key.pop(account_key)
        self.dropped += 1
