"""Election of the few nodes that read the platform for a whole fleet.

Every node ranks the same list by the same hash, so all that have the same
view elect the same nodes without a message. Views that differ for a moment
elect a few nodes more, which costs reads and nothing else.
"""

from collections.abc import Iterator, Mapping
from itertools import islice
from typing import Final

from lovageshunt.membership._ranking import ranked

#: How long a node is passed over that could not read the platform, in seconds.
_UNFIT_SECONDS: Final = 3.0


class CoordinatorElection:
    """Elects ``count`` nodes, in different failure domains if there are any.

    Nodes that are down are passed over as long as they are, nodes that could
    not read the platform for a while. Of the latter at most ``count`` are
    passed over, so that an outage of the platform does not make the whole
    fleet try to read it, one node after the other.
    """

    __slots__ = (
        '_count',
        '_ranked',
        '_domain_by_node',
        '_down',
        '_unfit_until_by_node',
    )

    def __init__(self, count: int) -> None:
        self._count = count
        self._ranked: list[str] = []
        self._domain_by_node: Mapping[str, str] = {}
        self._down: set[str] = set()
        self._unfit_until_by_node: dict[str, float] = {}

    def set_nodes(self, domain_by_node: Mapping[str, str]) -> None:
        """Replace the list of nodes, with the failure domain of each."""
        self._domain_by_node = dict(domain_by_node)
        self._ranked = _alternating(domain_by_node)
        self._down.intersection_update(domain_by_node)
        for node in self._unfit_until_by_node.keys() - domain_by_node.keys():
            self._unfit_until_by_node.pop(node)

    def note_down(self, node: str) -> None:
        """Pass over a node until ``note_up``."""
        if node in self._domain_by_node:
            self._down.add(node)

    def note_up(self, node: str) -> None:
        """Stop passing over a node that was down."""
        self._down.discard(node)

    def note_unfit(self, node: str, now: float) -> None:
        """Pass over a node for a while that could not read the platform."""
        if node in self._domain_by_node:
            self._unfit_until_by_node[node] = now + _UNFIT_SECONDS

    def note_fit(self, node: str) -> None:
        """Stop passing over a node that has read the platform."""
        self._unfit_until_by_node.pop(node, None)

    def elected(self, now: float) -> tuple[str, ...]:
        """Return the nodes that read the platform, highest ranked first."""
        return tuple(islice(self._candidates(now), self._count))

    def standing(self) -> tuple[str, ...]:
        """Return the first nodes that are up, whether they can read or not."""
        up = (node for node in self._ranked if node not in self._down)
        return tuple(islice(up, self._count))

    def _candidates(self, now: float) -> Iterator[str]:
        passed_over = 0
        for node in self._ranked:
            if node in self._down:
                continue
            is_unfit = now < self._unfit_until_by_node.get(node, now)
            if is_unfit and passed_over < self._count:
                passed_over += 1
            else:
                yield node


def _alternating(domain_by_node: Mapping[str, str]) -> list[str]:
    """Return the nodes by rank, the first of each failure domain first."""
    count_by_domain: dict[str, int] = {}
    place_by_node: dict[str, int] = {}
    by_rank = ranked(domain_by_node)
    for node in by_rank:
        domain = domain_by_node[node]
        place_by_node[node] = count_by_domain.get(domain, 0)
        count_by_domain[domain] = place_by_node[node] + 1
    return sorted(by_rank, key=place_by_node.__getitem__)
