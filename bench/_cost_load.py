"""Calls at a fixed mean rate, and how long each took."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

from hdrh.histogram import HdrHistogram

_LONGEST_US = 10_000_000
_DIGITS = 3
_US_PER_SECOND = 1_000_000

Way = Callable[[], Awaitable[bool]]


class Timing:
    """The times of the calls of one way, and how many failed."""

    __slots__ = ('histogram', 'failed')

    def __init__(self) -> None:
        """Begin with no calls."""
        self.histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
        self.failed = 0

    def at(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    async def take(self, way: Way) -> None:
        """Make one call and keep its time."""
        started = time.perf_counter()
        is_whole = await way()
        took = time.perf_counter() - started
        self.failed += not is_whole
        self.histogram.record_value(max(1, int(took * _US_PER_SECOND)))


async def make_calls(
    way: Way,
    timing: Timing,
    *,
    calls_per_second: float,
    seconds: float,
    rng: Random,
) -> None:
    """Make calls at random times, whether or not earlier ones ended."""
    clock = asyncio.get_running_loop().time
    ends_at = clock() + seconds
    due_at = clock()
    async with asyncio.TaskGroup() as group:
        while due_at < ends_at:
            await asyncio.sleep(max(0, due_at - clock()))
            group.create_task(timing.take(way))
            due_at += rng.expovariate(calls_per_second)
