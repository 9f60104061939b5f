"""Divides scarce capacity among kinds of different importance."""

from collections.abc import Mapping


def shares_by_importance(
    demand_by_importance: Mapping[int, float],
    capacity: float,
    floor_fraction: float,
) -> dict[int, float]:
    """Return the share of its demand that each importance is granted.

    Capacity goes to the most important (0) first, but ``floor_fraction`` of
    it is divided among all in proportion to their demand.
    """
    floor = min(
        1,
        floor_fraction * capacity / sum(demand_by_importance.values()),
    )
    left = capacity * (1 - floor_fraction)
    shares: dict[int, float] = {}
    for importance, demand in sorted(demand_by_importance.items()):
        above_floor = demand * (1 - floor)
        granted = min(1, max(0, left) / above_floor) if above_floor else 1
        shares[importance] = floor + (1 - floor) * granted
        left -= above_floor
    return shares
