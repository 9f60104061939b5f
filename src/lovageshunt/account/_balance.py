"""Consistency check: every call that arrived is accounted for."""

from collections.abc import Iterator, Mapping
from typing import Final

from lovageshunt._record import Record
from lovageshunt.account._line import AccountLine
from lovageshunt.account._snapshot import AccountSnapshot

#: Kind and importance of an imbalance that concerns an entire service.
_ALL_KINDS: Final = '(all)'
_ALL_IMPORTANCES: Final = -1


class Imbalance(Record):
    """An account line that violates an invariant of the counters.

    ``law`` is the violated equation or inequality, written with the names of
    the counters; ``excess`` is the deviation in calls. For an imbalance of an
    entire service ``kind`` is ``(all)`` and ``importance`` -1.
    """

    __slots__ = ('node', 'service', 'kind', 'importance', 'law', 'excess')

    def __init__(
        self,
        *,
        node: str,
        service: str,
        kind: str,
        importance: int,
        law: str,
        excess: int,
    ) -> None:
        self.node = node
        self.service = service
        self.kind = kind
        self.importance = importance
        self.law = law
        self.excess = excess


def find_imbalances(
    snapshot: AccountSnapshot,
    held_by_service: Mapping[str, int] | None = None,
) -> list[Imbalance]:
    """Return the violated invariants of a snapshot, empty if there are none.

    ``held_by_service`` is the number of calls that admission holds, queued
    and running, at the same moment. It makes calls detectable whose end was
    never counted.
    """
    by_line = [
        Imbalance(
            node=snapshot.node,
            service=line.service,
            kind=line.kind,
            importance=line.importance,
            law=law,
            excess=excess,
        )
        for line in snapshot.lines
        for law, excess in _excesses(line)
    ]
    by_service = [
        Imbalance(
            node=snapshot.node,
            service=service,
            kind=_ALL_KINDS,
            importance=_ALL_IMPORTANCES,
            law='running = held by admission',
            excess=_running_calls(snapshot, service) - held,
        )
        for service, held in (held_by_service or {}).items()
        if _running_calls(snapshot, service) != held
    ]
    return by_line + by_service


def _running_calls(snapshot: AccountSnapshot, service: str) -> int:
    lines = [line for line in snapshot.lines if line.service == service]
    return sum(line.running for line in lines)


def _excesses(line: AccountLine) -> Iterator[tuple[str, int]]:
    missing = line.arrived - line.ended - line.running
    if missing:
        yield (
            'arrived = answered + refused + failed + unknown + running',
            missing,
        )
    if line.running < 0:
        yield 'running >= 0', -line.running
    if line.dispatched > line.arrived:
        yield 'dispatched <= arrived', line.dispatched - line.arrived
    if line.wasted > line.dispatched:
        yield 'wasted <= dispatched', line.wasted - line.dispatched
