"""The call account of a deployment, merged from its nodes' answers."""

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
    """Account snapshots merged from one round of node answers.

    ``account`` holds the merged snapshots, ``errors`` one error per node
    without a usable answer, ``gaps`` the intervals without counts as of
    ``now`` (seconds since 1970).
    """

    __slots__ = ('account', 'errors', 'gaps', '_held_by_owner')

    def __init__(self, answers: list[NodeAnswer], now: float) -> None:
        self.account = MergedAccount()
        self.errors: list[LovageshuntError] = []
        self._held_by_owner: dict[AccountKey, dict[str, int]] = {}
        live = [
            (snapshot.node, snapshot.incarnation)
            for snapshot in map(self._add_answer, answers)
            if snapshot is not None
        ]
        self.gaps: list[AccountGap] = self.account.gaps(now, live)

    @property
    def has_callers(self) -> bool:
        """Whether any caller reported counts that can be compared."""
        return bool(self.account.lines(Role.CALLER))

    def imbalances(self) -> list[Imbalance]:
        """Return violated balance laws in each owner's newest snapshot."""
        return [
            imbalance
            for snapshot in self.account.snapshots()
            for imbalance in find_imbalances(
                snapshot,
                self._held_by_owner.get(snapshot.account_key),
            )
        ]

    def reading(self) -> AccountSample:
        """Return the counts that ``reconcile`` compares, with their times."""
        return AccountSample(
            callers=self.account.lines(Role.CALLER),
            nodes=self.account.lines(),
            services_with_gaps=[
                service for gap in self.gaps for service in gap.services
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

    def _add_answer(self, answer: NodeAnswer) -> AccountSnapshot | None:
        if answer.error:
            self.errors.append(answer.error)
            return None
        try:
            return self._add_body(answer.body)
        except (LovageshuntError, TypeError, ValueError) as error:
            self.errors.append(NodeAnswerError(answer.address, str(error)))
            return None

    def _add_body(self, body: dict[str, Any]) -> AccountSnapshot:
        own_snapshot = snapshot_from_dict(body.get('account'))
        for name in ('callers', 'kept'):
            for fields in body.get(name, ()):
                self.account.add(snapshot_from_dict(fields))
        self.account.add(own_snapshot)
        held = body.get('held_by_service')
        if isinstance(held, dict):
            self._held_by_owner[own_snapshot.account_key] = held
        return own_snapshot


class AccountReport:
    """A collection and the inconsistencies found in it.

    ``earlier`` is a collection made shortly before: with both, counts of
    callers and nodes can be compared while calls are in flight.
    ``differences`` lists contradictions between callers and nodes.
    """

    __slots__ = ('_collection', 'differences')

    def __init__(self, collection: Collection, earlier: Collection) -> None:
        self._collection = collection
        self.differences: list[Difference] = []
        if collection.has_callers:
            self.differences = reconcile(
                earlier.reading(),
                collection.reading(),
            )

    @property
    def is_complete(self) -> bool:
        """Whether no data is missing and all counts are consistent."""
        collection = self._collection
        unexplained = [
            difference
            for difference in self.differences
            if not difference.is_explained
        ]
        missing = collection.errors or collection.gaps
        return not (missing or collection.imbalances() or unexplained)

    def lines(self, role: Role = Role.NODE) -> list[AccountLine]:
        """Return the counts summed over all nodes, or over all callers."""
        return self._collection.account.lines(role)

    def as_dict(self) -> dict[str, Any]:
        """Return the fields of the ``--json`` output."""
        collection = self._collection
        return {
            'is_whole': self.is_complete,
            'nodes': _dicts(self.lines()),
            'callers': _dicts(self.lines(Role.CALLER)),
            'holes': _dicts(collection.gaps),
            'imbalances': _dicts(collection.imbalances()),
            'differences': _dicts(self.differences),
            'errors': [str(error) for error in collection.errors],
        }

    def problem_lines(self) -> list[str]:
        """Return one line of text per error, hole or inconsistency."""
        collection = self._collection
        return [
            *map(str, collection.errors),
            *map(_gap_line, collection.gaps),
            *map(_imbalance_line, collection.imbalances()),
            *map(_difference_line, self.differences),
        ]


def _gap_line(gap: AccountGap) -> str:
    return (
        f'hole: {gap.node} {gap.incarnation} from '
        f'{_format_time(gap.from_at)} to {_format_time(gap.to_at)}'
    )


def _imbalance_line(imbalance: Imbalance) -> str:
    return (
        f'imbalance: {imbalance.node} {imbalance.service} {imbalance.kind} '
        f'{imbalance.importance}: {imbalance.law} is off by '
        f'{imbalance.excess}'
    )


def _difference_line(difference: Difference) -> str:
    explanation = (
        ', which missing counts may explain' if difference.is_explained else ''
    )
    return (
        f'difference: {difference.service} {difference.kind} '
        f'{difference.importance}: {difference.claim} is off by '
        f'{difference.excess}{explanation}'
    )


def _format_time(seconds: float) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))


def _dicts(records: Iterable[Record]) -> list[dict[str, Any]]:
    return [record.as_dict() for record in records]
