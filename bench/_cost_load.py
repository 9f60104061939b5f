"""Open-loop load generator with a latency histogram."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

from hdrh.histogram import HdrHistogram

_MAX_LATENCY_US = 10_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_SECOND = 1_000_000

CallFunction = Callable[[], Awaitable[bool]]


class LatencyRecorder:
    """Latency histogram in microseconds and the number of failed calls."""

    __slots__ = ('histogram', 'failed')

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self.failed = 0

    def percentile_ms(self, percentile: float) -> float:
        return self.histogram.get_value_at_percentile(percentile) / 1000

    async def measure(self, call: CallFunction) -> None:
        """Make one call and record its latency and whether it failed."""
        started = time.perf_counter()
        is_successful = await call()
        elapsed = time.perf_counter() - started
        self.failed += not is_successful
        self.histogram.record_value(max(1, int(elapsed * _US_PER_SECOND)))


async def make_calls(
    call: CallFunction,
    recorder: LatencyRecorder,
    *,
    calls_per_second: float,
    seconds: float,
    rng: Random,
) -> None:
    """Start calls at Poisson-distributed times for ``seconds``.

    Calls do not wait for earlier ones, so a slow target does not lower the
    rate. Return when every call has ended.
    """
    clock = asyncio.get_running_loop().time
    ends_at = clock() + seconds
    due_at = clock()
    async with asyncio.TaskGroup() as group:
        while due_at < ends_at:
            await asyncio.sleep(max(0, due_at - clock()))
            group.create_task(recorder.measure(call))
            due_at += rng.expovariate(calls_per_second)
