"""Models the demand that one request of a kind causes at every service."""

from statistics import harmonic_mean
from typing import Final

from lovageshunt._record import Record

#: Calls deeper than this are not followed, so that a cycle ends.
_MAX_DEPTH: Final = 16
#: Weight of one report in the moving average of the calls per run.
_WEIGHT: Final = 0.3


class KindDemand(Record):
    """The demand of one run of a kind, as a node reports it.

    ``service`` runs it, ``seconds`` is how long it holds a slot at the target
    of ``node``, ``calls_by_kind`` how many calls of each kind it makes,
    ``None`` if the node cannot tell.
    """

    __slots__ = ('node', 'service', 'seconds', 'calls_by_kind')

    def __init__(
        self,
        *,
        node: str,
        service: str,
        seconds: float,
        calls_by_kind: dict[str, float] | None,
    ) -> None:
        self.node = node
        self.service = service
        self.seconds = seconds
        self.calls_by_kind = calls_by_kind


class _Kind:
    """The reports of all nodes of a service on one kind, combined.

    ``mean_calls_by_kind`` is the moving mean of the reports of single nodes,
    ``calls_by_kind_by_part`` holds means over the nodes of a part.
    """

    __slots__ = (
        'service',
        'seconds_by_node',
        'mean_calls_by_kind',
        'calls_by_kind_by_part',
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.seconds_by_node: dict[str, float] = {}
        self.mean_calls_by_kind: dict[str, float] | None = None
        self.calls_by_kind_by_part: dict[str, dict[str, float]] = {}

    @property
    def seconds(self) -> float:
        """Return the harmonic mean of the run time over the nodes.

        With targets of different speed it is the mean that gives the number
        of runs that all of them together can do.
        """
        return harmonic_mean(list(self.seconds_by_node.values()))

    @property
    def calls_by_kind(self) -> dict[str, float]:
        """Return how many calls of each kind a run makes.

        A part that does not know of any call yet does not count.
        """
        parts = [each for each in self.calls_by_kind_by_part.values() if each]
        if self.mean_calls_by_kind is not None:
            parts.append(self.mean_calls_by_kind)
        return _mean_by_key(parts)

    def learn(self, report: KindDemand) -> None:
        """Merge the report of another node, or a newer one of the same."""
        self.seconds_by_node[report.node] = report.seconds
        if report.calls_by_kind is None:
            return
        known = self.mean_calls_by_kind
        if known is None:
            self.mean_calls_by_kind = dict(report.calls_by_kind)
            return
        for called in known.keys() | report.calls_by_kind.keys():
            before = known.get(called, 0)
            change = report.calls_by_kind.get(called, 0) - before
            known[called] = before + _WEIGHT * change

    def learn_part(self, report: KindDemand) -> None:
        """Replace the means over the nodes of a part."""
        self.seconds_by_node[report.node] = report.seconds
        if report.calls_by_kind is not None:
            self.calls_by_kind_by_part[report.node] = report.calls_by_kind

    def forget(self, part: str) -> None:
        """Drop the means of a part, unless there are no others."""
        if self.calls_by_kind_by_part.keys() != {part}:
            self.calls_by_kind_by_part.pop(part, None)
        if self.seconds_by_node.keys() != {part}:
            self.seconds_by_node.pop(part, None)


def _mean_by_key(parts: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each key; a part without it counts as 0."""
    total_by_key: dict[str, float] = {}
    for part in parts:
        for key, number in part.items():
            total_by_key[key] = total_by_key.get(key, 0) + number
    return {key: total / len(parts) for key, total in total_by_key.items()}


class _Totals:
    """Slot-seconds and runs that one request causes, by service."""

    __slots__ = ('work_by_service', 'runs_by_service')

    def __init__(self) -> None:
        self.work_by_service: dict[str, float] = {}
        self.runs_by_service: dict[str, float] = {}

    def add(self, service: str, runs: float, seconds: float) -> None:
        """Add runs at a service; each holds a slot for ``seconds``."""
        work = self.work_by_service.get(service, 0)
        self.work_by_service[service] = work + runs * seconds
        known = self.runs_by_service.get(service, 0)
        self.runs_by_service[service] = known + runs


class DemandModel:
    """Sums the slot-seconds and runs that a request causes, by service.

    A kind that was not reported yet has no known demand.
    """

    __slots__ = ('_by_kind', '_totals_by_kind')

    def __init__(self) -> None:
        self._by_kind: dict[str, _Kind] = {}
        self._totals_by_kind: dict[str, _Totals] = {}

    def learn(self, kind: str, report: KindDemand) -> None:
        """Merge a node's report with those of other nodes of the service.

        A report from another service replaces what was known of the kind.
        """
        self._kind(kind, report.service).learn(report)

    def learn_part(self, kind: str, report: KindDemand) -> None:
        """Replace what is known of a kind in the part that ``node`` names."""
        self._kind(kind, report.service).learn_part(report)

    def forget(self, part: str) -> None:
        """Drop the reports of a part whose nodes other parts will include."""
        self._totals_by_kind = {}
        for known in self._by_kind.values():
            known.forget(part)

    def demand_by_kind(self) -> dict[str, KindDemand]:
        """Return what a run of each kind costs, over all nodes together."""
        return {
            kind: KindDemand(
                node='',
                service=known.service,
                seconds=known.seconds,
                calls_by_kind=known.calls_by_kind,
            )
            for kind, known in self._by_kind.items()
        }

    def work_of(self, kind: str) -> dict[str, float]:
        """Return slot-seconds by service for one request of a kind."""
        return self._totals(kind).work_by_service

    def runs_of(self, kind: str) -> dict[str, float]:
        """Return runs by service that one request of a kind causes."""
        return self._totals(kind).runs_by_service

    def _kind(self, kind: str, service: str) -> _Kind:
        """Return what is known of a kind, afresh if another service runs it."""
        self._totals_by_kind = {}
        known = self._by_kind.get(kind)
        if known is None or known.service != service:
            known = _Kind(service)
            self._by_kind[kind] = known
        return known

    def _totals(self, kind: str) -> _Totals:
        totals = self._totals_by_kind.get(kind)
        if totals is None:
            totals = _Totals()
            self._add(kind, 1, totals, _MAX_DEPTH)
            self._totals_by_kind[kind] = totals
        return totals

    def _add(
        self,
        kind: str,
        count: float,
        totals: _Totals,
        depth: int,
    ) -> None:
        """Add runs of a kind and, down to ``depth``, of what they call."""
        demand = self._by_kind.get(kind)
        if demand is None or depth == 0:
            return
        totals.add(demand.service, count, demand.seconds)
        for called, calls in demand.calls_by_kind.items():
            self._add(called, count * calls, totals, depth - 1)
