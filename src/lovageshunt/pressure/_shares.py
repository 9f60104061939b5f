"""Divides what is short among kinds of differing importance."""

from collections.abc import Mapping


def shares_by_importance(
    use_by_importance: Mapping[int, float],
    room: float,
    floor_part: float,
) -> dict[int, float]:
    """Return the share of each importance that there is room for.

    The room goes to the most important (0) first. But every importance gets
    at least its part of the share ``floor_part`` of the room.
    """
    floor = min(1, floor_part * room / sum(use_by_importance.values()))
    left = room * (1 - floor_part)
    shares: dict[int, float] = {}
    for importance, use in sorted(use_by_importance.items()):
        above_floor = use * (1 - floor)
        part = min(1, max(0, left) / above_floor) if above_floor else 1
        shares[importance] = floor + (1 - floor) * part
        left -= above_floor
    return shares
