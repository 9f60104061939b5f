"""Which levels a threshold refuses; the rule is the same at every hop."""

from typing import Final

from lovageshunt.calls import LOWEST_IMPORTANCE, RANK_COUNT

#: A threshold above every level, which refuses nothing.
OPEN_THRESHOLD: Final = (LOWEST_IMPORTANCE + 1) * RANK_COUNT


def is_refused(level: int, threshold: int, floor_ranks: int) -> bool:
    """Return whether a threshold refuses a level.

    Ranks below ``floor_ranks`` are admitted at every importance, so that the
    lowest importance keeps a small share. The rank belongs to the root
    request, so the same requests are admitted at every hop.
    """
    return level >= threshold and level % RANK_COUNT >= floor_ranks


def dispatch_order(level: int, floor_ranks: int) -> int:
    """Return the sort key of a level in the queue, lowest dispatched first.

    Calls with a rank below ``floor_ranks`` are ordered with the top
    importance: behind the others they would be admitted and then wait past
    their deadlines.
    """
    rank = level % RANK_COUNT
    return rank if rank < floor_ranks else level
