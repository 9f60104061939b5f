"""The order in which calls are refused under overload.

A root request has an importance (0 is refused last) and a rank, a hash of
its id. Both are inherited by every call below it, so that each hop reaches
the same verdict about one request.
"""

from typing import Final

from xxhash import xxh3_64_intdigest

#: The importance that is refused last.
HIGHEST_IMPORTANCE: Final = 0
#: The importance that is refused first.
LOWEST_IMPORTANCE: Final = 7
#: How many ranks there are within one importance.
RANK_COUNT: Final = 65536


def rank_of(request_id: str) -> int:
    """Return the rank of a root request, from 0 to ``RANK_COUNT - 1``."""
    return xxh3_64_intdigest(request_id.encode()) % RANK_COUNT


def level_of(importance: int, rank: int) -> int:
    """Return the level of a call; calls of a higher level are refused first.

    A hop under pressure holds one threshold: it admits the levels below it.
    """
    return importance * RANK_COUNT + rank
