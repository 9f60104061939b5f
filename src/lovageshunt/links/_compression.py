"""Compression of the larger messages between nodes."""

import zlib
from typing import Final

#: The level that takes the least time; JSON shrinks to a third or less.
_LEVEL: Final = 1
#: The largest size of a decompressed message; a configuration has 1 MB at
#: most.
_MAX_BYTES: Final = 16 * 1024 * 1024


def compress(encoded: bytes) -> bytes:
    """Compress an encoded message."""
    return zlib.compress(encoded, _LEVEL)


def decompress(payload: bytes) -> bytes:
    """Decompress a message; raise ``ValueError`` if that fails."""
    try:
        return zlib.decompressobj().decompress(payload, _MAX_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
