"""The targets of a service that one node sends calls to.

A node that knew every target of a large service would hold a link to each and
be told the load of each, so that both would grow with the fleet. It uses a
bounded part instead: the targets of its own failure domain, and a few others
to which it turns when these are full.
"""

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.routing._member import RouteMember

#: The most targets of the own failure domain.
_MAX_NEAR: Final = 16
#: The fewest targets of other failure domains, if there are as many.
_MIN_FAR: Final = 4
#: The fewest targets in all, if there are as many: with fewer, calls are
#: spread so unevenly that some targets are full beside empty ones.
_MIN_TOTAL: Final = 12


def subset_of(
    members: Iterable[RouteMember], own_failure_domain: str, origin: str
) -> frozenset[str]:
    """Return the ids of the targets that the node ``origin`` uses.

    Each node draws its own by hash, so that all targets are in about equally
    many subsets, and a target that comes or goes changes few of them.
    """
    ordered = sorted(
        members,
        key=lambda member: xxh3_64_intdigest(
            f'{origin} {member.node}'.encode()
        ),
    )
    near = [
        member.node
        for member in ordered
        if member.failure_domain == own_failure_domain
    ][:_MAX_NEAR]
    far = [
        member.node
        for member in ordered
        if member.failure_domain != own_failure_domain
    ]
    far_count = max(_MIN_FAR, _MIN_TOTAL - len(near))
    return frozenset((*near, *far[:far_count]))
