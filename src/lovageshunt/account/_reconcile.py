"""The check of callers' figures against nodes' figures."""

from collections.abc import Iterable, Iterator

from lovageshunt._record import Record
from lovageshunt.account._line import (
    AccountLine,
    line_of,
    total_of,
)


class Difference(Record):
    """A claim that callers' and nodes' figures break, and by how many calls."""

    __slots__ = ('service', 'kind', 'importance', 'claim', 'excess')

    def __init__(
        self,
        *,
        service: str,
        kind: str,
        importance: int,
        claim: str,
        excess: int,
    ) -> None:
        """Take the line's key, the claim and the calls too many."""
        self.service = service
        self.kind = kind
        self.importance = importance
        self.claim = claim
        self.excess = excess


def reconcile(
    callers: Iterable[AccountLine],
    nodes: Iterable[AccountLine],
) -> list[Difference]:
    """Return where callers' figures contradict nodes' figures.

    The figures must cover the same calls: taken while no call is on its
    way, from all nodes without a hole and from all callers but those whose
    calls the nodes counted as external. Then, for each line:

    - what callers were answered, nodes answered;
    - what callers were refused after sending it, nodes refused;
    - what arrived at nodes, callers sent;
    - what nodes answered and no caller had, callers call unknown or failed,
      or still wait for.
    """
    caller_by_key = {line.key: line for line in total_of(callers)}
    node_by_key = {line.key: line for line in total_of(nodes)}
    return [
        Difference(
            service=key[0],
            kind=key[1],
            importance=key[2],
            claim=claim,
            excess=excess,
        )
        for key in sorted(caller_by_key.keys() | node_by_key.keys())
        for claim, excess in _claims(
            caller_by_key.get(key) or line_of(key),
            node_by_key.get(key) or line_of(key),
        )
        if excess > 0
    ]


def _claims(
    caller: AccountLine,
    node: AccountLine,
) -> Iterator[tuple[str, int]]:
    yield (
        'answered at callers <= answered at nodes',
        caller.answered - node.answered,
    )
    yield (
        'refused by nodes at callers <= refused at nodes',
        _refused_by_nodes(caller) - node.refused,
    )
    yield (
        'arrived at nodes <= sent by callers',
        node.arrived - node.external - _sent(caller),
    )
    yield (
        'answered at nodes <= answered or without outcome at callers',
        node.answered - node.external - caller.answered - _open_at(caller),
    )


def _refused_by_nodes(caller: AccountLine) -> int:
    # What a caller never sent it refused itself, so it counts as not run.
    unsent = caller.ended - caller.dispatched
    return caller.refused - unsent


def _sent(caller: AccountLine) -> int:
    return caller.dispatched + caller.running


def _open_at(caller: AccountLine) -> int:
    return caller.unknown + caller.failed + caller.running
