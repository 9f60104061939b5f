"""Rates of a whole fleet, added up from what its nodes tell."""

from collections.abc import Mapping
from typing import Final

from lovageshunt._record import Record

#: Weight of one report in the rate of a node.
_RATE_WEIGHT: Final = 0.5
#: A node that told nothing for so long is left out, in seconds.
_MEMORY_SECONDS: Final = 4.0


class _NodeRates(Record):
    """What one node told, and when."""

    __slots__ = ('at', 'by_key')

    def __init__(self, *, at: float, by_key: dict[str, float]) -> None:
        """Take both."""
        self.at = at
        self.by_key = by_key


class FleetRates:
    """Adds up so many a second of each key, as nodes told it."""

    __slots__ = ('_by_node',)

    def __init__(self) -> None:
        """Begin with none."""
        self._by_node: dict[str, _NodeRates] = {}

    def learn(
        self,
        node: str,
        count_by_key: Mapping[str, float],
        seconds: float,
        now: float,
    ) -> None:
        """Take how many of each key a node counted in a time."""
        told = self._by_node.get(node)
        if told is None or now - told.at > _MEMORY_SECONDS:
            by_key = {
                key: count / seconds for key, count in count_by_key.items()
            }
            self._by_node[node] = _NodeRates(at=now, by_key=by_key)
            return
        told.at = now
        for key in told.by_key.keys() | count_by_key.keys():
            known = told.by_key.get(key, 0)
            rate = count_by_key.get(key, 0) / seconds
            told.by_key[key] = known + _RATE_WEIGHT * (rate - known)

    def rate_by_key(self, now: float) -> dict[str, float]:
        """Return the rates of the whole fleet."""
        total: dict[str, float] = {}
        for node, told in list(self._by_node.items()):
            if now - told.at > _MEMORY_SECONDS:
                self._by_node.pop(node)
                continue
            for key, rate in told.by_key.items():
                total[key] = total.get(key, 0) + rate
        return total
