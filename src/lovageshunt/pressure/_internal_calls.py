"""Distinguishes the calls of targets from the requests of clients.

Both reach a node at one address and look alike. But clients send every kind
of request to the nodes of every service, while a kind that only targets call
arrives only at the nodes of the services that call it.
"""

from collections.abc import Mapping
from typing import Final

#: The factor by which a node's counts decay with each of its reports.
_DECAY_PER_REPORT: Final = 0.7
#: Fewer requests per node of a service than this are not conclusive.
_MIN_COUNT: Final = 12
#: If the nodes of one service get less than this share of the requests of a
#: kind that those of another service get, clients do not send the kind.
_ABSENT_SHARE: Final = 0.05


#: Counts by kind, by node.
_ByNode = dict[str, dict[str, float]]


class InternalCallDetector:
    """Finds internal kinds by the requests at the nodes of each service.

    Every kind counts as sent by clients until two services have reported.
    """

    __slots__ = ('_count_by_node_by_service', '_internal_kinds')

    def __init__(self) -> None:
        self._count_by_node_by_service: dict[str, _ByNode] = {}
        self._internal_kinds: frozenset[str] = frozenset()

    def learn(
        self,
        service: str,
        node: str,
        count_by_kind: Mapping[str, float],
    ) -> None:
        """Add a node's report of the requests that it received by kind."""
        by_node = self._count_by_node_by_service.setdefault(service, {})
        known = by_node.setdefault(node, {})
        for kind in known:
            known[kind] *= _DECAY_PER_REPORT
        for kind, count in count_by_kind.items():
            known[kind] = known.get(kind, 0) + count
        self._internal_kinds = self._find_internal()

    def forget(self, node: str) -> None:
        """Drop the counts of a node whose requests others will include."""
        for by_node in self._count_by_node_by_service.values():
            by_node.pop(node, None)

    def is_internal(self, kind: str) -> bool:
        """Return whether only targets send requests of a kind."""
        return kind in self._internal_kinds

    def _find_internal(self) -> frozenset[str]:
        means = [
            _mean_by_kind(by_node)
            for by_node in self._count_by_node_by_service.values()
            if by_node
        ]
        # A service without traffic must not make every kind look internal.
        busy = [mean for mean in means if sum(mean.values()) >= _MIN_COUNT]
        if len(busy) < 2:
            return frozenset()
        kinds = {kind for mean in busy for kind in mean}
        return frozenset(kind for kind in kinds if _is_absent(kind, busy))


def _mean_by_kind(by_node: _ByNode) -> dict[str, float]:
    total: dict[str, float] = {}
    for count_by_kind in by_node.values():
        for kind, count in count_by_kind.items():
            addend = count / len(by_node)
            total[kind] = total.get(kind, 0) + addend
    return total


def _is_absent(kind: str, means: list[dict[str, float]]) -> bool:
    """Return whether a kind is frequent at one service, absent at another."""
    counts = [mean.get(kind, 0) for mean in means]
    highest = max(counts)
    return highest >= _MIN_COUNT and min(counts) < highest * _ABSENT_SHARE
