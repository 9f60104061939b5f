"""The merged accounts of many nodes, and the gaps left by lost VMs."""

from collections.abc import Collection, Iterable
from typing import Any

from lovageshunt._record import Record
from lovageshunt.account._line import AccountLine, sum_by_key
from lovageshunt.account._snapshot import (
    AccountKey,
    AccountSnapshot,
    Role,
    encode_snapshot,
)

#: A node and one of its incarnations.
IncarnationKey = tuple[str, str]


class AccountGap(Record):
    """A period for which the counters of an incarnation are lost.

    ``from_at`` is the time of its last snapshot, ``to_at`` the start of its
    replacement or, if there is none, the time of the query; both in seconds
    since 1970. ``services`` are those that the incarnation served.
    """

    __slots__ = ('node', 'incarnation', 'services', 'from_at', 'to_at')

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        services: list[str],
        from_at: float,
        to_at: float,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.services = services
        self.from_at = from_at
        self.to_at = to_at


class MergedAccount:
    """Merges snapshots, keeping the newest of each incarnation.

    Merging is commutative, associative and idempotent.
    """

    __slots__ = ('_newest_by_owner',)

    def __init__(self, snapshots: Iterable[AccountSnapshot] = ()) -> None:
        self._newest_by_owner: dict[AccountKey, AccountSnapshot] = {}
        for snapshot in snapshots:
            self.add(snapshot)

    def add(self, snapshot: AccountSnapshot) -> None:
        """Add a snapshot unless a newer one of its incarnation is present."""
        stored = self._newest_by_owner.get(snapshot.account_key)
        if stored is None or _recency(stored) < _recency(snapshot):
            self._newest_by_owner[snapshot.account_key] = snapshot

    def merge(self, other: 'MergedAccount') -> None:
        """Add all snapshots of another merged account."""
        for snapshot in other.snapshots():
            self.add(snapshot)

    def snapshots(self) -> list[AccountSnapshot]:
        """Return the newest snapshots, ordered by role, node, incarnation."""
        newest = self._newest_by_owner
        return [newest[key] for key in sorted(newest)]

    def lines(self, role: Role = Role.NODE) -> list[AccountLine]:
        """Return the lines of all accounts of one role, summed by key."""
        return sum_by_key(
            line
            for snapshot in self.snapshots()
            if snapshot.role is role
            for line in snapshot.lines
        )

    def taken_at(self, role: Role) -> list[float]:
        """Return the times of the snapshots of a role that are not final."""
        return [
            snapshot.taken_at
            for snapshot in self.snapshots()
            if snapshot.role is role and not snapshot.is_final
        ]

    def gaps(
        self,
        now: float,
        live: Collection[IncarnationKey],
    ) -> list[AccountGap]:
        """Return the gaps, given the incarnations that are ``live``.

        A node's incarnation that is not live and left no final snapshot
        leaves a gap up to its replacement's start, or else up to ``now``.
        Lost callers leave no gap: what they did not report is in no account.
        """
        return [
            AccountGap(
                node=snapshot.node,
                incarnation=snapshot.incarnation,
                services=sorted({line.service for line in snapshot.lines}),
                from_at=snapshot.taken_at,
                to_at=self._gap_end(snapshot, now),
            )
            for snapshot in self.snapshots()
            if snapshot.role is Role.NODE
            and not snapshot.is_final
            and (snapshot.node, snapshot.incarnation) not in live
        ]

    def _gap_end(self, lost: AccountSnapshot, now: float) -> float:
        replacement_starts = [
            snapshot.started_at
            for snapshot in self.snapshots()
            if snapshot.role is lost.role
            and snapshot.node == lost.node
            and snapshot.started_at >= lost.taken_at
        ]
        return min(replacement_starts, default=now)


def _recency(snapshot: AccountSnapshot) -> tuple[Any, ...]:
    return (
        snapshot.sequence,
        snapshot.is_final,
        snapshot.taken_at,
        encode_snapshot(snapshot),
    )
