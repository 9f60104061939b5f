"""The clock of the daemons and the library; decisions never read it."""

from time import CLOCK_BOOTTIME, clock_gettime


def now() -> float:
    """Return seconds on a clock that counts the time of a suspension.

    It has no meaning outside this VM and never goes back.
    """
    return clock_gettime(CLOCK_BOOTTIME)
