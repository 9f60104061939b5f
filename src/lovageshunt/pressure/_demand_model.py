"""Which services a kind of request needs, and for how long."""

from statistics import harmonic_mean
from typing import Final

from lovageshunt._record import Record

#: Calls deeper than this are not followed, so that a loop ends.
_MOST_DEPTH: Final = 16
#: Weight of one node's word in the mean of its service.
_WEIGHT: Final = 0.3


class KindDemand(Record):
    """What one run of a kind takes, as nodes beside its targets told.

    ``service`` runs it, ``seconds`` is how long it holds a slot at the target
    of ``node``, ``calls_by_kind`` how many calls of each kind it makes.
    """

    __slots__ = ('node', 'service', 'seconds', 'calls_by_kind')

    def __init__(
        self,
        *,
        node: str,
        service: str,
        seconds: float,
        calls_by_kind: dict[str, float],
    ) -> None:
        """Take every field by name."""
        self.node = node
        self.service = service
        self.seconds = seconds
        self.calls_by_kind = calls_by_kind


class _Kind:
    """What is known of one kind."""

    __slots__ = ('service', 'seconds_by_node', 'calls_by_kind')

    def __init__(self, told: KindDemand) -> None:
        """Begin with the word of one node."""
        self.service = told.service
        self.seconds_by_node = {told.node: told.seconds}
        self.calls_by_kind = dict(told.calls_by_kind)

    @property
    def seconds(self) -> float:
        """Return the time of a run on targets of differing speed.

        It is the mean by which as many runs fit as fit on all of them.
        """
        return harmonic_mean(list(self.seconds_by_node.values()))

    def learn(self, told: KindDemand) -> None:
        """Take the word of another node, or the same one anew."""
        self.seconds_by_node[told.node] = told.seconds
        for called in self.calls_by_kind.keys() | told.calls_by_kind.keys():
            before = self.calls_by_kind.get(called, 0)
            change = told.calls_by_kind.get(called, 0) - before
            self.calls_by_kind[called] = before + _WEIGHT * change


class _Totals:
    """Slot-seconds and runs that one request causes, by service."""

    __slots__ = ('work_by_service', 'runs_by_service')

    def __init__(self) -> None:
        """Begin with none."""
        self.work_by_service: dict[str, float] = {}
        self.runs_by_service: dict[str, float] = {}

    def add(self, service: str, runs: float, seconds: float) -> None:
        """Add runs at a service that take so many seconds each."""
        work = self.work_by_service.get(service, 0)
        self.work_by_service[service] = work + runs * seconds
        known = self.runs_by_service.get(service, 0)
        self.runs_by_service[service] = known + runs


class DemandModel:
    """Adds up the slots and runs that a request needs at every service."""

    __slots__ = ('_by_kind', '_totals_by_kind')

    def __init__(self) -> None:
        """Begin with nothing known."""
        self._by_kind: dict[str, _Kind] = {}
        self._totals_by_kind: dict[str, _Totals] = {}

    def learn(self, kind: str, told: KindDemand) -> None:
        """Take the word of one node; nodes of a service are averaged."""
        self._totals_by_kind = {}
        known = self._by_kind.get(kind)
        if known is None or known.service != told.service:
            self._by_kind[kind] = _Kind(told)
        else:
            known.learn(told)

    def work_of(self, kind: str) -> dict[str, float]:
        """Return slot-seconds by service for one request of a kind."""
        return self._totals(kind).work_by_service

    def runs_of(self, kind: str) -> dict[str, float]:
        """Return runs by service that one request of a kind causes."""
        return self._totals(kind).runs_by_service

    def _totals(self, kind: str) -> _Totals:
        totals = self._totals_by_kind.get(kind)
        if totals is None:
            totals = _Totals()
            self._add(kind, 1, totals, _MOST_DEPTH)
            self._totals_by_kind[kind] = totals
        return totals

    def _add(
        self,
        kind: str,
        count: float,
        totals: _Totals,
        depth: int,
    ) -> None:
        needs = self._by_kind.get(kind)
        if needs is None or depth == 0:
            return
        totals.add(needs.service, count, needs.seconds)
        for called, calls in needs.calls_by_kind.items():
            self._add(called, count * calls, totals, depth - 1)
