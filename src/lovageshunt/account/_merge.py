"""The account of many nodes, with the holes that lost VMs leave."""

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

#: A node and one life of it.
IncarnationKey = tuple[str, str]


class AccountGap(Record):
    """A time for which nobody has the counters of an incarnation.

    From the last snapshot (``from_at``) to the start of the replacement, or
    to the moment of asking when there is none (``to_at``), in seconds.
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
        """Name the incarnation, what it served and the two ends."""
        self.node = node
        self.incarnation = incarnation
        self.services = services
        self.from_at = from_at
        self.to_at = to_at


class MergedAccount:
    """Hold the newest snapshot of each incarnation.

    The order in which snapshots come, and how often, makes no difference.
    """

    __slots__ = ('_newest_by_owner',)

    def __init__(self, snapshots: Iterable[AccountSnapshot] = ()) -> None:
        """Take in the snapshots, if any."""
        self._newest_by_owner: dict[AccountKey, AccountSnapshot] = {}
        for snapshot in snapshots:
            self.add(snapshot)

    def add(self, snapshot: AccountSnapshot) -> None:
        """Take in a snapshot, unless a newer one of its life is held."""
        held = self._newest_by_owner.get(snapshot.account_key)
        if held is None or _age_order(held) < _age_order(snapshot):
            self._newest_by_owner[snapshot.account_key] = snapshot

    def merge(self, other: 'MergedAccount') -> None:
        """Take in all that another merged account holds."""
        for snapshot in other.snapshots():
            self.add(snapshot)

    def snapshots(self) -> list[AccountSnapshot]:
        """Return the newest snapshots, by role, node and incarnation."""
        newest = self._newest_by_owner
        return [newest[key] for key in sorted(newest)]

    def lines(self, role: Role = Role.NODE) -> list[AccountLine]:
        """Return the sums over all accounts of one role, ordered by key."""
        return sum_by_key(
            line
            for snapshot in self.snapshots()
            if snapshot.role is role
            for line in snapshot.lines
        )

    def taken_at(self, role: Role) -> list[float]:
        """Return when the accounts of one role were taken, but final ones."""
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
        """Return the holes, given the incarnations that answer ``now``.

        An incarnation that is neither live nor has handed over its final
        snapshot leaves one. What a lost caller saw is in no account.
        """
        return [
            AccountGap(
                node=snapshot.node,
                incarnation=snapshot.incarnation,
                services=sorted({line.service for line in snapshot.lines}),
                from_at=snapshot.taken_at,
                to_at=self._replaced_at(snapshot, now),
            )
            for snapshot in self.snapshots()
            if snapshot.role is Role.NODE
            and not snapshot.is_final
            and (snapshot.node, snapshot.incarnation) not in live
        ]

    def _replaced_at(self, lost: AccountSnapshot, now: float) -> float:
        starts = [
            snapshot.started_at
            for snapshot in self.snapshots()
            if snapshot.role is lost.role
            and snapshot.node == lost.node
            and snapshot.started_at >= lost.taken_at
        ]
        return min(starts, default=now)


def _age_order(snapshot: AccountSnapshot) -> tuple[Any, ...]:
    return (
        snapshot.sequence,
        snapshot.is_final,
        snapshot.taken_at,
        encode_snapshot(snapshot),
    )
