"""Which levels a threshold refuses, the same at every hop."""

from typing import Final

from lovageshunt.calls import LOWEST_IMPORTANCE, RANK_COUNT

#: Above every level: nothing is refused.
OPEN_THRESHOLD: Final = (LOWEST_IMPORTANCE + 1) * RANK_COUNT


def is_refused(level: int, threshold: int, floor_ranks: int) -> bool:
    """Tell whether a threshold refuses a level.

    Ranks below ``floor_ranks`` pass in every importance, so that the lowest
    importance keeps a small share. The rank belongs to the root request, so
    the same requests pass at every hop.
    """
    return level >= threshold and level % RANK_COUNT >= floor_ranks


def order_of(level: int, floor_ranks: int) -> int:
    """Return the place of a level in the order of dispatch, lowest first.

    Calls of the floor go with the top importance; behind the others they
    would be admitted and then wait past their deadlines.
    """
    rank = level % RANK_COUNT
    return rank if rank < floor_ranks else level
