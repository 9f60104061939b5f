"""The account of a deployment, as collected from its nodes."""

import time
from collections.abc import Iterable
from typing import Any

from lovageshunt._record import Record
from lovageshunt.account import (
    AccountGap,
    AccountKey,
    AccountLine,
    AccountSample,
    AccountSnapshot,
    Difference,
    Imbalance,
    MergedAccount,
    Role,
    find_imbalances,
    reconcile,
    snapshot_from_dict,
)
from lovageshunt.cli._nodes import NodeAnswer
from lovageshunt.errors import LovageshuntError, NodeAnswerError


class Collection:
    """The snapshots in the answers of the nodes, and what went wrong."""

    __slots__ = ('account', 'errors', 'gaps', '_held_by_owner')

    def __init__(self, answers: list[NodeAnswer], now: float) -> None:
        """Merge the nodes' answers as of ``now``, in seconds since 1970."""
        self.account = MergedAccount()
        self.errors: list[LovageshuntError] = []
        self._held_by_owner: dict[AccountKey, dict[str, int]] = {}
        live = [
            (own.node, own.incarnation)
            for own in map(self._take, answers)
            if own is not None
        ]
        self.gaps: list[AccountGap] = self.account.gaps(now, live)

    @property
    def has_callers(self) -> bool:
        """Return whether there is any caller's account to compare."""
        return bool(self.account.lines(Role.CALLER))

    def imbalances(self) -> list[Imbalance]:
        """Return what does not balance, in the newest account of each."""
        return [
            imbalance
            for snapshot in self.account.snapshots()
            for imbalance in find_imbalances(
                snapshot,
                self._held_by_owner.get(snapshot.account_key),
            )
        ]

    def reading(self) -> AccountSample:
        """Return the figures to compare callers with nodes."""
        return AccountSample(
            callers=self.account.lines(Role.CALLER),
            nodes=self.account.lines(),
            services_with_gaps=[
                service for hole in self.gaps for service in hole.services
            ],
            callers_taken_at=min(
                self.account.taken_at(Role.CALLER),
                default=float('inf'),
            ),
            nodes_taken_at=max(
                self.account.taken_at(Role.NODE),
                default=float('-inf'),
            ),
        )

    def _take(self, answer: NodeAnswer) -> AccountSnapshot | None:
        if answer.error:
            self.errors.append(answer.error)
            return None
        try:
            return self._take_body(answer.body)
        except (LovageshuntError, TypeError, ValueError) as error:
            self.errors.append(NodeAnswerError(answer.address, str(error)))
            return None

    def _take_body(self, body: dict[str, Any]) -> AccountSnapshot:
        own = snapshot_from_dict(body.get('account'))
        for name in ('callers', 'kept'):
            for fields in body.get(name, ()):
                self.account.add(snapshot_from_dict(fields))
        self.account.add(own)
        held = body.get('held_by_service')
        if isinstance(held, dict):
            self._held_by_owner[own.account_key] = held
        return own


class AccountReport:
    """What was collected, and what is wrong with it.

    ``earlier`` was collected just before, so that figures of callers and
    nodes can be compared while calls are on their way.
    """

    __slots__ = ('_collection', 'differences')

    def __init__(self, collection: Collection, earlier: Collection) -> None:
        """Compare the two collections."""
        self._collection = collection
        self.differences: list[Difference] = []
        if collection.has_callers:
            self.differences = reconcile(
                earlier.reading(),
                collection.reading(),
            )

    @property
    def is_whole(self) -> bool:
        """Say whether nothing is missing and all balances."""
        found = self._collection
        unexplained = [
            difference
            for difference in self.differences
            if not difference.is_explained
        ]
        missing = found.errors or found.gaps
        return not (missing or found.imbalances() or unexplained)

    def lines(self, role: Role = Role.NODE) -> list[AccountLine]:
        """Return the counts of all nodes, or of all callers."""
        return self._collection.account.lines(role)

    def as_dict(self) -> dict[str, Any]:
        """Return the report for programs."""
        found = self._collection
        return {
            'is_whole': self.is_whole,
            'nodes': _dicts(self.lines()),
            'callers': _dicts(self.lines(Role.CALLER)),
            'holes': _dicts(found.gaps),
            'imbalances': _dicts(found.imbalances()),
            'differences': _dicts(self.differences),
            'errors': [str(error) for error in found.errors],
        }

    def faults(self) -> list[str]:
        """Return a line for each fault, for people."""
        found = self._collection
        return [
            *map(str, found.errors),
            *map(_hole_line, found.gaps),
            *map(_imbalance_line, found.imbalances()),
            *map(_difference_line, self.differences),
        ]


def _hole_line(hole: AccountGap) -> str:
    return (
        f'hole: {hole.node} {hole.incarnation} from {_shown_time(hole.from_at)}'
        f' to {_shown_time(hole.to_at)}'
    )


def _imbalance_line(fault: Imbalance) -> str:
    return (
        f'imbalance: {fault.node} {fault.service} {fault.kind} '
        f'{fault.importance}: {fault.law} is off by {fault.excess}'
    )


def _difference_line(fault: Difference) -> str:
    why = ', which missing figures may explain' if fault.is_explained else ''
    return (
        f'difference: {fault.service} {fault.kind} {fault.importance}: '
        f'{fault.claim} is off by {fault.excess}{why}'
    )


def _shown_time(seconds: float) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))


def _dicts(records: Iterable[Record]) -> list[dict[str, Any]]:
    return [record.as_dict() for record in records]
