"""Loopback addresses of this test process alone.

Two runs of the tests on one machine then do not meet at a port.
"""

import os

_NETWORKS = 250


def own_host(number: int) -> str:
    """Return an address that no other test process uses, by its number."""
    high, low = divmod(os.getpid(), _NETWORKS)
    return f'127.{1 + high % _NETWORKS}.{low}.{number}'
