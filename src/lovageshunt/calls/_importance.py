"""Priority levels, which order the refusal of calls under overload.

A root request has an importance (0 is refused last) and a rank, a hash of
its id. All of its downstream calls inherit both, so that every hop makes
the same admission decision for one request.
"""

from typing import Final

from xxhash import xxh3_64_intdigest

#: The importance whose calls are refused last.
HIGHEST_IMPORTANCE: Final = 0
#: The importance whose calls are refused first.
LOWEST_IMPORTANCE: Final = 7
#: Number of ranks within one importance.
RANK_COUNT: Final = 65536


def rank_of(request_id: str) -> int:
    """Return the rank of a root request, from 0 to ``RANK_COUNT - 1``."""
    return xxh3_64_intdigest(request_id.encode()) % RANK_COUNT


def level_of(importance: int, rank: int) -> int:
    """Return the level of a call; higher levels are refused first.

    An overloaded hop has one threshold and admits the levels below it.
    """
    return importance * RANK_COUNT + rank
