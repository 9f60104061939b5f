"""A helper for results that must have exactly one entry."""

from collections.abc import Sequence
from typing import TypeVar

EntryT = TypeVar('EntryT')


def only(found: Sequence[EntryT]) -> EntryT:
    """Return the single entry; fail when there are none or several."""
    assert len(found) == 1, found
    return found[0]
