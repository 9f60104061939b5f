"""The order of the platform's states."""

from typing import Final

#: More than any revision that a platform gives out within one era.
_REVISIONS_IN_AN_ERA: Final = 2**44


def position_of(era: int, revision: int) -> int:
    """Return a number that grows with the era, then with the revision.

    A platform that returns from an older copy begins a new era and gives out
    revisions again. Nodes exchange the position as one number, so that those
    of an earlier build, which send revisions alone, are taken to be older.
    """
    return era * _REVISIONS_IN_AN_ERA + revision
