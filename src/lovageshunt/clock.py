"""The clock of the daemons and the client library.

Decision logic never reads it; the time is passed with each event.
"""

from time import CLOCK_BOOTTIME, clock_gettime


def now() -> float:
    """Return monotonic seconds that include the time spent suspended.

    The values are only comparable with others of the same VM.
    """
    return clock_gettime(CLOCK_BOOTTIME)
