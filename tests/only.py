"""A shorthand for results that must be single."""

from collections.abc import Sequence
from typing import TypeVar

Found = TypeVar('Found')


def only(found: Sequence[Found]) -> Found:
    """Return the one entry; fail when there are more or none."""
    assert len(found) == 1, found
    return found[0]
