"""The account of a deployment, as collected from its nodes."""

import time
from collections.abc import Iterable
from typing import Any

from lovageshunt._record import Record
from lovageshunt.account import (
    AccountSnapshot,
    Difference,
    Hole,
    Imbalance,
    MergedAccount,
    Role,
    balance,
    reconcile,
    snapshot_from_dict,
)
from lovageshunt.cli._nodes import NodeAnswer
from lovageshunt.errors import (
    LovageshuntError,
    MalformedSnapshotError,
    NodeAnswerError,
)


class AccountReport:
    """What was collected, and what is wrong with it."""

    __slots__ = ('account', 'errors', 'holes', 'imbalances', 'differences')

    def __init__(self, answers: list[NodeAnswer], now: float) -> None:
        """Merge the nodes' answers as of ``now``, in seconds since 1970."""
        self.account = MergedAccount()
        self.errors: list[LovageshuntError] = []
        live = []
        for answer in answers:
            snapshot = self._take(answer)
            if snapshot:
                live.append((snapshot.node, snapshot.incarnation))
        self.holes: list[Hole] = self.account.holes(now, live)
        self.imbalances: list[Imbalance] = [
            imbalance
            for snapshot in self.account.snapshots()
            for imbalance in balance(snapshot)
        ]
        self.differences: list[Difference] = self._differences()

    @property
    def is_whole(self) -> bool:
        """Say whether nothing is missing and all balances."""
        return not (self.errors or self.holes or self.imbalances)

    def as_dict(self) -> dict[str, Any]:
        """Return the report for programs."""
        return {
            'is_whole': self.is_whole,
            'nodes': _dicts(self.account.lines()),
            'callers': _dicts(self.account.lines(Role.CALLER)),
            'holes': _dicts(self.holes),
            'imbalances': _dicts(self.imbalances),
            'differences': _dicts(self.differences),
            'errors': [str(error) for error in self.errors],
        }

    def faults(self) -> list[str]:
        """Return a line for each fault, for people."""
        return [
            *map(str, self.errors),
            *map(_hole_line, self.holes),
            *map(_imbalance_line, self.imbalances),
            *map(_difference_line, self.differences),
        ]

    def _take(self, answer: NodeAnswer) -> AccountSnapshot | None:
        if answer.error:
            self.errors.append(answer.error)
            return None
        try:
            own = snapshot_from_dict(answer.body.get('account'))
            others = [
                snapshot_from_dict(fields)
                for name in ('callers', 'kept')
                for fields in answer.body.get(name, ())
            ]
        except (MalformedSnapshotError, TypeError) as error:
            self.errors.append(NodeAnswerError(answer.address, str(error)))
            return None
        for snapshot in (own, *others):
            self.account.add(snapshot)
        return own

    def _differences(self) -> list[Difference]:
        callers = self.account.lines(Role.CALLER)
        return reconcile(callers, self.account.lines()) if callers else []


def _hole_line(hole: Hole) -> str:
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
    return (
        f'difference: {fault.service} {fault.kind} {fault.importance}: '
        f'{fault.claim} is off by {fault.excess}'
    )


def _shown_time(seconds: float) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))


def _dicts(records: Iterable[Record]) -> list[dict[str, Any]]:
    return [record.as_dict() for record in records]
