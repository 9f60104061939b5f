"""Names for the incarnations of a node."""

from random import Random
from typing import Final

_MS: Final = 1000
_RANDOM_BITS: Final = 32


def new_incarnation(unix_seconds: float, rng: Random) -> str:
    """Return a name that sorts by the time at which the node started."""
    started_ms = int(unix_seconds * _MS)
    return f'{started_ms:012x}-{rng.getrandbits(_RANDOM_BITS):08x}'
