"""The check of callers' figures against nodes' figures."""

from collections.abc import Collection, Iterable, Iterator
from math import inf

from lovageshunt._record import Record
from lovageshunt.account._line import (
    AccountLine,
    LineKey,
    line_of,
    sum_by_key,
)


class Difference(Record):
    """A claim that callers' and nodes' figures break, and by how many calls.

    ``is_explained`` says that figures which are missing may be why: a hole
    in the nodes' account, or callers that have not reported since.
    """

    __slots__ = (
        'service',
        'kind',
        'importance',
        'claim',
        'excess',
        'is_explained',
    )

    def __init__(
        self,
        *,
        service: str,
        kind: str,
        importance: int,
        claim: str,
        excess: int,
        is_explained: bool = False,
    ) -> None:
        """Take the line's key, the claim and the calls too many."""
        self.service = service
        self.kind = kind
        self.importance = importance
        self.claim = claim
        self.excess = excess
        self.is_explained = is_explained


class AccountSample(Record):
    """The lines of callers and of nodes, taken at about one moment.

    ``services_with_gaps`` are those with a hole in the nodes' account. Callers
    report from time to time: ``callers_taken_at`` is when the least recent
    of their accounts was taken, and ``nodes_taken_at`` when the most recent
    of the nodes' was, in seconds since 1970.
    """

    __slots__ = (
        'callers',
        'nodes',
        'services_with_gaps',
        'callers_taken_at',
        'nodes_taken_at',
    )

    def __init__(
        self,
        *,
        callers: Iterable[AccountLine],
        nodes: Iterable[AccountLine],
        services_with_gaps: Collection[str] = (),
        callers_taken_at: float = inf,
        nodes_taken_at: float = -inf,
    ) -> None:
        """Sum the lines of each side by key."""
        self.callers = {line.key: line for line in sum_by_key(callers)}
        self.nodes = {line.key: line for line in sum_by_key(nodes)}
        self.services_with_gaps = services_with_gaps
        self.callers_taken_at = callers_taken_at
        self.nodes_taken_at = nodes_taken_at

    def has_callers_of(self, service: str) -> bool:
        """Return whether any caller has reported calls to a service."""
        return any(key[0] == service for key in self.callers)

    def caller(self, key: LineKey) -> AccountLine:
        """Return the callers' line, empty when they have none."""
        return self.callers.get(key) or line_of(key)

    def node(self, key: LineKey) -> AccountLine:
        """Return the nodes' line, empty when they have none."""
        return self.nodes.get(key) or line_of(key)


def reconcile(
    first: AccountSample,
    second: AccountSample | None = None,
) -> list[Difference]:
    """Return where callers' figures contradict nodes' figures.

    While calls are on their way one reading cannot be at one moment on both
    sides, so two are compared crosswise: of each claim the side that may
    not be the greater is taken from the first. Without traffic one will do.
    Callers without an account are counted by nodes as external. Then, for
    each line:

    - what callers were answered, nodes answered;
    - what callers were told is not run after sending it, nodes refused;
    - what arrived at nodes, callers sent;
    - what nodes answered and no caller had, callers call unknown or failed,
      or still wait for.
    """
    second = second or first
    return [
        difference
        for key in sorted(first.callers.keys() | first.nodes.keys())
        for difference in _differences(key, first, second)
        if difference.excess > 0
    ]


def _differences(
    key: LineKey,
    first: AccountSample,
    second: AccountSample,
) -> list[Difference]:
    service = key[0]
    # A hole hides calls of nodes, so nodes' figures are too low.
    is_holed = service in second.services_with_gaps
    # Nodes may have counted what callers have not reported yet.
    is_ahead = (
        second.callers_taken_at <= first.nodes_taken_at
        or not second.has_callers_of(service)
    )
    of_callers = _caller_excesses(first.caller(key), second.node(key))
    of_nodes = _node_excesses(first.node(key), second.caller(key))
    return [
        *_explained(key, of_callers, is_explained=is_holed),
        *_explained(key, of_nodes, is_explained=is_ahead),
    ]


def _explained(
    key: LineKey,
    excesses: Iterable[tuple[str, int]],
    *,
    is_explained: bool,
) -> Iterator[Difference]:
    service, kind, importance = key
    for claim, excess in excesses:
        yield Difference(
            service=service,
            kind=kind,
            importance=importance,
            claim=claim,
            excess=excess,
            is_explained=is_explained,
        )


def _caller_excesses(
    caller: AccountLine,
    node: AccountLine,
) -> tuple[tuple[str, int], ...]:
    return (
        (
            'at callers answered <= answered at nodes',
            caller.answered - node.answered,
        ),
        (
            'at callers told not run <= refused at nodes',
            _refused_by_nodes(caller) - node.refused,
        ),
    )


def _node_excesses(
    node: AccountLine,
    caller: AccountLine,
) -> tuple[tuple[str, int], ...]:
    open_calls = caller.unknown + caller.failed + caller.running
    had = caller.answered + open_calls
    return (
        (
            'at nodes arrived <= sent by callers',
            node.arrived - node.external - caller.dispatched - caller.running,
        ),
        (
            'at nodes answered <= answered or without outcome at callers',
            node.answered - node.external - had,
        ),
    )


def _refused_by_nodes(caller: AccountLine) -> int:
    # What a caller never sent it refused itself, so it counts as not run.
    unsent = caller.ended - caller.dispatched
    return caller.refused - unsent
