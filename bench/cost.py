"""Added latency per call, and the control overhead of a node.

``python -m bench.cost`` starts real processes on loopback and prints two
tables. The first compares a direct call, a minimal uvicorn and aiohttp proxy,
and a call through client library and node, interleaved in one run. The second
has CPU, memory and traffic of nodes in fleets of several sizes, idle and under
load. Seeds are fixed. ``python -m bench.cost latency`` or ``control`` prints
only one table.
"""

import asyncio
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import orjson
import psutil

from bench._cost_load import CallFunction, LatencyRecorder, make_calls
from lovageshunt.cli import write_line, write_table
from lovageshunt.client import Client, ClientOptions
from lovageshunt.rules import encode_document, parse_sheet
from standins.fleet import Fleet, ServicePlan, free_address

_CALLS_PER_SECOND = (80, 300)
_ROUNDS = 5
_ROUND_SECONDS = 2.0
_WARMUP_SECONDS = 1.0
_CONTROL_SECONDS = 8.0
_NODE_COUNTS = (2, 6, 12)
_BUSY_CALLS_PER_SECOND = 80
_SEED = 11
_BYTES_PER_MB = 1_000_000
_SHEET = """deployment;cost
generation;1
service;kind;method;path;importance;repeatable;timeout_seconds;retry_bound
one;look;GET;/;3;yes;2;3
two;look;GET;/;3;yes;2;3
"""


async def measure_latency() -> None:
    """Print the latency of each call method at each rate."""
    plans = [ServicePlan('one', instances=1, slots=100, service_ms=0)]
    async with (
        _fleet(plans) as fleet,
        _minimal_proxy(fleet) as proxy,
        _client(fleet) as client,
        aiohttp.ClientSession() as session,
    ):
        call_by_method = {
            'direct': _direct_call(session, fleet.vms[0].target),
            'bare hop': _direct_call(session, proxy),
            'whole call': _client_call(client),
        }
        rows = []
        for rate in _CALLS_PER_SECOND:
            recorder_by_method = await _interleave(call_by_method, rate)
            rows.extend(_latency_rows(rate, recorder_by_method))
    write_table(
        (
            'calls/s',
            'way',
            'calls',
            'failed',
            'p50 ms',
            'p99 ms',
            'added p50',
            'added p99',
        ),
        rows,
    )


async def measure_control() -> None:
    """Print CPU, memory and peer traffic per node, idle and under load."""
    rows = []
    for count in _NODE_COUNTS:
        plans = [
            ServicePlan(
                name, instances=count // 2, slots=100, service_ms=0, calls=calls
            )
            for name, calls in (('one', (('two', '/'),)), ('two', ()))
        ]
        async with _fleet(plans) as fleet, _client(fleet) as client:
            # Start-up exchanges between nodes would inflate the idle figures.
            await asyncio.sleep(_CONTROL_SECONDS)
            sent = await _sent_bytes(fleet)
            idle = await _cpu_percentages(
                fleet, asyncio.sleep(_CONTROL_SECONDS)
            )
            sent = await _sent_bytes(fleet) - sent
            calls = make_calls(
                _client_call(client),
                LatencyRecorder(),
                calls_per_second=_BUSY_CALLS_PER_SECOND * count / 2,
                seconds=_CONTROL_SECONDS,
                rng=Random(_SEED),
            )
            busy = await _cpu_percentages(fleet, calls)
            bytes_per_second = sent / count / _CONTROL_SECONDS
            rows.append(
                [
                    *_control_row(count, fleet, idle, busy),
                    f'{bytes_per_second:.0f}',
                ],
            )
    write_table(
        (
            'nodes',
            'idle % of a core, mean',
            'max',
            f'at {_BUSY_CALLS_PER_SECOND} calls/s each, mean',
            'max',
            'memory MB, max',
            'sent to peers B/s, mean',
        ),
        rows,
    )


def main(arguments: list[str]) -> int:
    """Print the named tables, or both; return 2 on an unknown name."""
    by_name = {'latency': measure_latency, 'control': measure_control}
    names = arguments or list(by_name)
    if not set(names) <= set(by_name):
        sys.stderr.write('usage: python -m bench.cost [latency] [control]\n')
        return 2
    for name in names:
        _write_load_average('before')
        asyncio.run(by_name[name]())
        _write_load_average('after')
    return 0


def _write_load_average(when: str) -> None:
    averages = ', '.join(f'{average:.1f}' for average in os.getloadavg())
    write_line(f'load average {when}: {averages}; {os.cpu_count()} cores')


async def _interleave(
    call_by_method: dict[str, CallFunction], rate: int
) -> dict[str, LatencyRecorder]:
    """Alternate between the call methods, so that machine load affects all."""
    recorder_by_method = {name: LatencyRecorder() for name in call_by_method}
    for call in call_by_method.values():
        await make_calls(
            call,
            LatencyRecorder(),
            calls_per_second=rate,
            seconds=_WARMUP_SECONDS,
            rng=Random(_SEED),
        )
    for round_number in range(_ROUNDS):
        for name, call in call_by_method.items():
            await make_calls(
                call,
                recorder_by_method[name],
                calls_per_second=rate,
                seconds=_ROUND_SECONDS,
                rng=Random(_SEED + round_number),
            )
    return recorder_by_method


def _latency_rows(
    rate: int, recorder_by_method: dict[str, LatencyRecorder]
) -> list[list[str]]:
    direct = recorder_by_method['direct']
    return [
        [
            str(rate),
            name,
            str(recorder.histogram.get_total_count()),
            str(recorder.failed),
            f'{recorder.percentile_ms(50):.2f}',
            f'{recorder.percentile_ms(99):.2f}',
            f'{recorder.percentile_ms(50) - direct.percentile_ms(50):+.2f}',
            f'{recorder.percentile_ms(99) - direct.percentile_ms(99):+.2f}',
        ]
        for name, recorder in recorder_by_method.items()
    ]


async def _cpu_percentages(fleet: Fleet, work: Awaitable[None]) -> list[float]:
    """Return each node's CPU use during ``work``, in per cent of a core."""
    processes = _node_processes(fleet)
    before = [_cpu_seconds(process) for process in processes]
    started = asyncio.get_running_loop().time()
    await work
    elapsed = asyncio.get_running_loop().time() - started
    return [
        (_cpu_seconds(process) - cpu_before) / elapsed * 100
        for process, cpu_before in zip(processes, before, strict=True)
    ]


def _control_row(
    count: int,
    fleet: Fleet,
    idle: list[float],
    busy: list[float],
) -> list[str]:
    memory = [process.memory_info().rss for process in _node_processes(fleet)]
    return [
        str(count),
        f'{sum(idle) / count:.2f}',
        f'{max(idle):.2f}',
        f'{sum(busy) / count:.2f}',
        f'{max(busy):.2f}',
        f'{max(memory) / _BYTES_PER_MB:.1f}',
    ]


async def _sent_bytes(fleet: Fleet) -> int:
    """Return the bytes that all nodes sent to peers since they started."""
    statuses = [await fleet.admin(vm.name, '/v1/status') for vm in fleet.vms]
    return sum(status['sent_bytes'] for status in statuses)


def _node_processes(fleet: Fleet) -> list[psutil.Process]:
    return [
        psutil.Process(vm.node_process.pid)
        for vm in fleet.vms
        if vm.node_process is not None
    ]


def _cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _direct_call(session: aiohttp.ClientSession, address: str) -> CallFunction:
    async def call() -> bool:
        async with session.get(f'http://{address}/') as response:
            await response.read()
            return response.status == 200

    return call


def _client_call(client: Client) -> CallFunction:
    async def call() -> bool:
        return (await client.call('one', 'GET', '/')).is_ok()

    return call


@asynccontextmanager
async def _fleet(plans: list[ServicePlan]) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), plans)
        try:
            await fleet.start(_rules())
            yield fleet
        finally:
            await fleet.stop()


@asynccontextmanager
async def _minimal_proxy(fleet: Fleet) -> AsyncIterator[str]:
    address = free_address()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bench._cost_hop',
        address,
        fleet.vms[0].target,
    )
    try:
        await _wait_until_up(address)
        yield address
    finally:
        process.terminate()
        await process.wait()


async def _wait_until_up(address: str) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f'http://{address}/'):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)


@asynccontextmanager
async def _client(fleet: Fleet) -> AsyncIterator[Client]:
    client = Client(
        ClientOptions(
            name='caller',
            failure_domain='a',
            seeds=tuple(vm.ingress for vm in fleet.vms),
            services=('one',),
        ),
    )
    await client.start()
    try:
        yield client
    finally:
        await client.close()


def _rules() -> dict[str, Any]:
    document = parse_sheet(_SHEET.encode()).ok.document
    rules: dict[str, Any] = orjson.loads(encode_document(document))
    return rules


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
