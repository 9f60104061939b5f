"""Identifiers for the incarnations of a node."""

from random import Random
from typing import Final

_MS_PER_SECOND: Final = 1000
_RANDOM_BITS: Final = 32


def new_incarnation(unix_seconds: float, rng: Random) -> str:
    """Return an identifier that sorts by the start time of the node.

    Random bits distinguish two starts within the same millisecond.
    """
    started_ms = int(unix_seconds * _MS_PER_SECOND)
    return f'{started_ms:012x}-{rng.getrandbits(_RANDOM_BITS):08x}'
