"""The rates at which a whole fleet's clients ask, by kind."""

from typing import Final

from lovageshunt._record import Record

#: Weight of one report in the rate of a node.
_RATE_WEIGHT: Final = 0.5
#: A node that told nothing for so long is left out, in seconds.
_MEMORY_SECONDS: Final = 4.0


class _NodeRates(Record):
    """What one node told, and when."""

    __slots__ = ('at', 'by_kind')

    def __init__(self, *, at: float, by_kind: dict[str, float]) -> None:
        """Take both."""
        self.at = at
        self.by_kind = by_kind


class FleetArrivals:
    """Adds up the requests a second that nodes tell of."""

    __slots__ = ('_by_node',)

    def __init__(self) -> None:
        """Begin with no requests."""
        self._by_node: dict[str, _NodeRates] = {}

    def learn(
        self,
        node: str,
        count_by_kind: dict[str, int],
        seconds: float,
        now: float,
    ) -> None:
        """Take how many requests of each kind a node got in a time."""
        told = self._by_node.get(node)
        if told is None or now - told.at > _MEMORY_SECONDS:
            by_kind = {
                kind: count / seconds for kind, count in count_by_kind.items()
            }
            self._by_node[node] = _NodeRates(at=now, by_kind=by_kind)
            return
        told.at = now
        for kind in told.by_kind.keys() | count_by_kind.keys():
            known = told.by_kind.get(kind, 0)
            rate = count_by_kind.get(kind, 0) / seconds
            told.by_kind[kind] = known + _RATE_WEIGHT * (rate - known)

    def rate_by_kind(self, now: float) -> dict[str, float]:
        """Return the requests a second of the whole fleet."""
        total: dict[str, float] = {}
        for node, told in list(self._by_node.items()):
            if now - told.at > _MEMORY_SECONDS:
                self._by_node.pop(node)
                continue
            for kind, rate in told.by_kind.items():
                total[kind] = total.get(kind, 0) + rate
        return total
