"""Reconciliation of the counters of callers with those of nodes."""

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
    """An expected relation that the counters of callers and nodes violate.

    ``claim`` is the relation and ``excess`` the deviation in calls.
    ``is_explained`` means that missing data may be the cause: a gap in the
    nodes' accounts, or callers that have not reported since.
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
        self.service = service
        self.kind = kind
        self.importance = importance
        self.claim = claim
        self.excess = excess
        self.is_explained = is_explained


class AccountSample(Record):
    """The lines of callers and nodes at about one time, summed by key.

    ``services_with_gaps`` are those with a gap in the nodes' accounts.
    Callers report periodically: ``callers_taken_at`` is the time of their
    oldest account and ``nodes_taken_at`` that of the nodes' newest, both in
    seconds since 1970.
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
        self.callers = {line.key: line for line in sum_by_key(callers)}
        self.nodes = {line.key: line for line in sum_by_key(nodes)}
        self.services_with_gaps = services_with_gaps
        self.callers_taken_at = callers_taken_at
        self.nodes_taken_at = nodes_taken_at

    def has_callers_of(self, service: str) -> bool:
        """Return whether any caller reported calls to a service."""
        return any(key[0] == service for key in self.callers)

    def caller(self, key: LineKey) -> AccountLine:
        """Return the callers' line of a key, all 0 if there is none."""
        return self.callers.get(key) or line_of(key)

    def node(self, key: LineKey) -> AccountLine:
        """Return the nodes' line of a key, all 0 if there is none."""
        return self.nodes.get(key) or line_of(key)


def reconcile(
    first: AccountSample,
    second: AccountSample | None = None,
) -> list[Difference]:
    """Return the violated relations between callers' and nodes' counters.

    With calls in transit, one sample cannot cover both sides at the same
    time, so two are compared: in each relation the side that must not be the
    greater is read from the first sample, the other from the second. Without
    traffic one sample is enough. Nodes count the calls of callers that have
    no account as external. For each line:

    - callers' answered calls are at most the nodes' answered calls;
    - calls that callers dispatched and got back as not run are at most those
      that nodes refused;
    - calls that arrived at nodes are at most those that callers sent;
    - calls answered by nodes are at most those that callers count as
      answered, unknown, failed or running.
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
    # Calls within a gap are missing from the nodes' counters.
    has_gap = service in second.services_with_gaps
    # Nodes may have counted calls that callers have not reported yet.
    is_report_pending = (
        second.callers_taken_at <= first.nodes_taken_at
        or not second.has_callers_of(service)
    )
    caller_excesses = _caller_excesses(first.caller(key), second.node(key))
    node_excesses = _node_excesses(first.node(key), second.caller(key))
    return [
        *_differences_of(key, caller_excesses, is_explained=has_gap),
        *_differences_of(key, node_excesses, is_explained=is_report_pending),
    ]


def _differences_of(
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
    accounted = caller.answered + open_calls
    return (
        (
            'at nodes arrived <= sent by callers',
            node.arrived - node.external - caller.dispatched - caller.running,
        ),
        (
            'at nodes answered <= answered or without outcome at callers',
            node.answered - node.external - accounted,
        ),
    )


def _refused_by_nodes(caller: AccountLine) -> int:
    # Calls that a caller did not send were refused by the caller itself.
    unsent = caller.ended - caller.dispatched
    return caller.refused - unsent
