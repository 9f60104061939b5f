"""The order of the platform's states."""

from typing import Final

#: More than any revision that a platform gives out within one era.
_REVISIONS_IN_AN_ERA: Final = 2**44
#: With these, a position fits into the 64 bits of an encoded integer.
_ERAS: Final = 2**19


def position_of(era: int, revision: int) -> int:
    """Return a number that grows with the era, then with the revision.

    A platform that returns from an older copy begins a new era and gives out
    revisions again. Nodes exchange the position as one number, so that those
    of an earlier build, which send revisions alone, are taken to be older.
    Eras are counted modulo 524,288, as the number is not known that a platform
    begins with.
    """
    return era % _ERAS * _REVISIONS_IN_AN_ERA + revision
