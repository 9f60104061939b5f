"""The order in which nodes are elected, the same at every node."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def ranked(names: Iterable[str]) -> list[str]:
    """Return names by their hash, the highest first."""
    return sorted(set(names), key=_name_hash, reverse=True)


def _name_hash(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
