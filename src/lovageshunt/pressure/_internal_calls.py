"""Tells the calls of targets from the requests of clients.

Both reach a node at one address and look alike. But clients send every kind
of request to the nodes of every service, while a kind that only targets call
comes from nodes of the services that call it.
"""

from typing import Final

#: What is left of the counts when a node tells new ones.
_FADE: Final = 0.7
#: Fewer requests than this at the nodes of a service say nothing.
_LEAST_COUNT: Final = 12
#: A service whose nodes see less than this share of what those of another
#: see does not have clients that send the kind.
_ABSENT_SHARE: Final = 0.05


#: Counts by kind, by node.
_ByNode = dict[str, dict[str, float]]


class InternalCallDetector:
    """Counts of requests by kind, at the nodes of each service."""

    __slots__ = ('_count_by_node_by_service', '_inner')

    def __init__(self) -> None:
        """Begin with every kind taken for one of clients."""
        self._count_by_node_by_service: dict[str, _ByNode] = {}
        self._inner: frozenset[str] = frozenset()

    def learn(
        self,
        service: str,
        node: str,
        count_by_kind: dict[str, int],
    ) -> None:
        """Take how many requests of each kind a node has got."""
        by_node = self._count_by_node_by_service.setdefault(service, {})
        known = by_node.setdefault(node, {})
        for kind in known:
            known[kind] *= _FADE
        for kind, count in count_by_kind.items():
            known[kind] = known.get(kind, 0) + count
        self._inner = self._find_inner()

    def forget(self, nodes: set[str]) -> None:
        """Keep only the counts of some nodes."""
        for by_node in self._count_by_node_by_service.values():
            for node in by_node.keys() - nodes:
                by_node.pop(node)

    def is_internal(self, kind: str) -> bool:
        """Tell whether only targets send requests of a kind."""
        return kind in self._inner

    def _find_inner(self) -> frozenset[str]:
        means = [
            _mean_by_kind(by_node)
            for by_node in self._count_by_node_by_service.values()
            if by_node
        ]
        # A service whose nodes have seen nothing at all says nothing.
        seen = [mean for mean in means if sum(mean.values()) >= _LEAST_COUNT]
        if len(seen) < 2:
            return frozenset()
        kinds = {kind for mean in seen for kind in mean}
        return frozenset(kind for kind in kinds if _is_absent(kind, seen))


def _mean_by_kind(by_node: _ByNode) -> dict[str, float]:
    total: dict[str, float] = {}
    for count_by_kind in by_node.values():
        for kind, count in count_by_kind.items():
            part = count / len(by_node)
            total[kind] = total.get(kind, 0) + part
    return total


def _is_absent(kind: str, seen: list[dict[str, float]]) -> bool:
    counts = [mean.get(kind, 0) for mean in seen]
    most = max(counts)
    return most >= _LEAST_COUNT and min(counts) < most * _ABSENT_SHARE
