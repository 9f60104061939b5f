"""Loopback addresses that are specific to this test process.

They let two test runs on one machine use the same ports.
"""

import os

_OCTET_VALUES = 250


def own_host(number: int) -> str:
    """Return a loopback address, different in each test process."""
    high, low = divmod(os.getpid(), _OCTET_VALUES)
    return f'127.{1 + high % _OCTET_VALUES}.{low}.{number}'
