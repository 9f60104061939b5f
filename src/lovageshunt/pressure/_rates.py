"""Rates of a whole fleet, summed over the reports of its nodes."""

from collections.abc import Mapping
from typing import Final

from lovageshunt._record import Record

#: Weight of one report in the moving average of a node's rate.
_RATE_WEIGHT: Final = 0.5
#: After this many seconds without a report, a node is left out by default.
_EXPIRY_SECONDS: Final = 4.0


class _NodeRates(Record):
    """One node's rates a second by key, and the time of its last report."""

    __slots__ = ('at', 'by_key')

    def __init__(self, *, at: float, by_key: dict[str, float]) -> None:
        self.at = at
        self.by_key = by_key


class FleetRates:
    """Sums the rate of each key over the nodes that lately reported it.

    A node that sent no report for ``expiry_seconds`` is left out.
    """

    __slots__ = ('_by_node', '_expiry_seconds')

    def __init__(self, expiry_seconds: float = _EXPIRY_SECONDS) -> None:
        self._expiry_seconds = expiry_seconds
        self._by_node: dict[str, _NodeRates] = {}

    def learn(
        self,
        node: str,
        count_by_key: Mapping[str, float],
        seconds: float,
        now: float,
    ) -> None:
        """Add a node's report of its counts in the last ``seconds``."""
        rates = self._by_node.get(node)
        if rates is None or now - rates.at > self._expiry_seconds:
            by_key = {
                key: count / seconds for key, count in count_by_key.items()
            }
            self._by_node[node] = _NodeRates(at=now, by_key=by_key)
            return
        rates.at = now
        for key in rates.by_key.keys() | count_by_key.keys():
            known = rates.by_key.get(key, 0)
            rate = count_by_key.get(key, 0) / seconds
            rates.by_key[key] = known + _RATE_WEIGHT * (rate - known)

    def replace(
        self, node: str, rate_by_key: Mapping[str, float], now: float
    ) -> None:
        """Set a node's rates a second, which are means already."""
        self._by_node[node] = _NodeRates(at=now, by_key=dict(rate_by_key))

    def forget(self, node: str) -> None:
        """Drop the rates of a node whose reports others will include."""
        self._by_node.pop(node, None)

    def node_count(self, now: float) -> int:
        """Return the number of nodes that lately sent a report."""
        return sum(
            now - rates.at <= self._expiry_seconds
            for rates in self._by_node.values()
        )

    def rate_by_key(self, now: float) -> dict[str, float]:
        """Return the fleet's rates a second; drop nodes that are silent."""
        total: dict[str, float] = {}
        for node, rates in list(self._by_node.items()):
            if now - rates.at > self._expiry_seconds:
                self._by_node.pop(node)
                continue
            for key, rate in rates.by_key.items():
                total[key] = total.get(key, 0) + rate
        return total
