"""Overload of a chain of two services, run as real processes.

``python -m bench.live`` offers 1, 2 and 4 times the capacity and prints for
each load the goodput of completed requests against capacity, the share of
purchases and lookups answered, and the wasted executions. The processes are
started by ``standins.fleet``. One request in ten is a purchase.
"""

import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import orjson

from lovageshunt.client import Client, ClientOptions
from lovageshunt.rules import encode_document, parse_sheet
from standins.fleet import Fleet, ServicePlan

_SHEET = b"""deployment;live
generation;1
service;kind;method;path;importance;repeatable;timeout_seconds;retry_bound
payments;purchase;POST;/tokens;0;no;2;6
payments;history;GET;/tokens;4;yes;1;3
records;entry;POST;/records;0;no;2;3
records;record;GET;/records;5;yes;1;3
"""
_SLOTS = 4
_SERVICE_MS = 50
_INSTANCES = 2
# Requests per second that the `records` service can run.
_CAPACITY = _INSTANCES * _SLOTS * 1000 / _SERVICE_MS
_LOAD_SECONDS = 8.0
_WARMUP_SECONDS = 2.0
_LOAD_FACTORS = (1, 2, 4)
_REQUESTS_PER_PURCHASE = 10


class Outcomes:
    """Request counts by (kind, outcome); goodput counts exclude warm-up."""

    def __init__(self) -> None:
        self.count_by_outcome: Counter[tuple[str, str]] = Counter()
        self.answers_after_warmup = 0

    def answered_share(self, kind: str) -> float:
        """Return the fraction of the requests of a kind that was answered."""
        total = sum(
            count
            for key, count in self.count_by_outcome.items()
            if key[0] == kind
        )
        return self.count_by_outcome[(kind, 'answered')] / max(1, total)


async def measure(load_factor: float) -> str:
    """Return the row for a load of ``load_factor`` times the capacity."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), _plans())
        try:
            await fleet.start(_document())
            outcomes = await _load(fleet, load_factor * _CAPACITY)
            return _row(load_factor, outcomes, fleet)
        finally:
            await fleet.stop()


def _plans() -> list[ServicePlan]:
    return [
        ServicePlan(
            'payments',
            instances=_INSTANCES,
            slots=20,
            service_ms=5,
            calls=(('records', '/records'),),
        ),
        ServicePlan(
            'records',
            instances=_INSTANCES,
            slots=_SLOTS,
            service_ms=_SERVICE_MS,
        ),
    ]


def _document() -> dict[str, object]:
    document = parse_sheet(_SHEET).ok.document
    decoded: dict[str, object] = orjson.loads(encode_document(document))
    return decoded


async def _load(fleet: Fleet, requests_per_second: float) -> Outcomes:
    client = Client(
        ClientOptions(
            name='phone',
            failure_domain='a',
            seeds=tuple(vm.ingress for vm in fleet.vms),
            services=('payments',),
        ),
    )
    await client.start()
    outcomes = Outcomes()
    started_at = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() - started_at < _LOAD_SECONDS:
        number += 1
        is_purchase = number % _REQUESTS_PER_PURCHASE == 0
        tasks.append(
            asyncio.create_task(
                _send(client, outcomes, started_at, is_purchase)
            ),
        )
        due_at = started_at + number / requests_per_second
        await asyncio.sleep(max(0, due_at - time.monotonic()))
    await asyncio.gather(*tasks)
    await client.close()
    return outcomes


async def _send(
    client: Client,
    outcomes: Outcomes,
    started_at: float,
    is_purchase: bool,
) -> None:
    method = 'POST' if is_purchase else 'GET'
    response = await client.call('payments', method, '/tokens', body=b'{}')
    kind = 'purchase' if is_purchase else 'lookup'
    if response.is_error():
        name = type(response.error).__name__
        outcomes.count_by_outcome[(kind, name)] += 1
        return
    outcomes.count_by_outcome[(kind, 'answered')] += 1
    elapsed = time.monotonic() - started_at
    outcomes.answers_after_warmup += _WARMUP_SECONDS <= elapsed <= _LOAD_SECONDS


def _row(load_factor: float, outcomes: Outcomes, fleet: Fleet) -> str:
    goodput = outcomes.answers_after_warmup / (_LOAD_SECONDS - _WARMUP_SECONDS)
    answered = sum(
        count
        for key, count in outcomes.count_by_outcome.items()
        if key[1] == 'answered'
    )
    executions = sum(fleet.execution_counts('records').values())
    return (
        f'{load_factor:4g}x  goodput {goodput:5.0f}/s of {_CAPACITY:.0f}/s '
        f'({goodput / _CAPACITY:4.0%})  '
        f'purchases answered {outcomes.answered_share("purchase"):6.1%}  '
        f'lookups answered {outcomes.answered_share("lookup"):5.0%}  '
        f'wasted at records {max(0, executions - answered)} of {executions}'
    )


async def _main() -> None:
    for load_factor in _LOAD_FACTORS:
        sys.stdout.write(f'{await measure(load_factor)}\n')


if __name__ == '__main__':
    asyncio.run(_main())
