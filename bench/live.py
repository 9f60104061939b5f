"""Overload on real processes: two services in a chain, at 1, 2 and 4 times.

``python -m bench.live`` prints, for each load, what callers were told, the
goodput of whole requests against capacity, and what ran for nothing. It
starts its processes by ``standins.fleet``. One request in ten is a purchase.
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
_CAPACITY = _INSTANCES * _SLOTS * 1000 / _SERVICE_MS
_SECONDS = 8.0
_WARM_SECONDS = 2.0
_TIMES = (1, 2, 4)
_ONE_PURCHASE_IN = 10


class Outcomes:
    """What callers were told, and when answers came."""

    def __init__(self) -> None:
        """Begin with none."""
        self.told: Counter[tuple[str, str]] = Counter()
        self.warm_answers = 0

    def share(self, kind: str) -> float:
        """Return the share of one kind that was answered."""
        total = sum(
            times for told, times in self.told.items() if told[0] == kind
        )
        return self.told[(kind, 'answered')] / max(1, total)


async def measure(times: float) -> str:
    """Load a deployment and return the row for it."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), _plans())
        try:
            await fleet.start(_document())
            outcomes = await _load(fleet, times * _CAPACITY)
            return _row(times, outcomes, fleet)
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


async def _load(fleet: Fleet, per_second: float) -> Outcomes:
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
    began = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() - began < _SECONDS:
        number += 1
        is_purchase = number % _ONE_PURCHASE_IN == 0
        tasks.append(
            asyncio.create_task(_send(client, outcomes, began, is_purchase)),
        )
        due = began + number / per_second
        await asyncio.sleep(max(0, due - time.monotonic()))
    await asyncio.gather(*tasks)
    await client.close()
    return outcomes


async def _send(
    client: Client,
    outcomes: Outcomes,
    began: float,
    is_purchase: bool,
) -> None:
    method = 'POST' if is_purchase else 'GET'
    told = await client.call('payments', method, '/tokens', body=b'{}')
    kind = 'purchase' if is_purchase else 'lookup'
    if told.is_error():
        name = type(told.error).__name__
        outcomes.told[(kind, name)] += 1
        return
    outcomes.told[(kind, 'answered')] += 1
    elapsed = time.monotonic() - began
    outcomes.warm_answers += _WARM_SECONDS <= elapsed <= _SECONDS


def _row(times: float, outcomes: Outcomes, fleet: Fleet) -> str:
    goodput = outcomes.warm_answers / (_SECONDS - _WARM_SECONDS)
    answered = sum(
        count for told, count in outcomes.told.items() if told[1] == 'answered'
    )
    ran = sum(fleet.execution_counts('records').values())
    return (
        f'{times:4g}x  goodput {goodput:5.0f}/s of {_CAPACITY:.0f}/s '
        f'({goodput / _CAPACITY:4.0%})  '
        f'purchases answered {outcomes.share("purchase"):6.1%}  '
        f'lookups answered {outcomes.share("lookup"):5.0%}  '
        f'wasted at records {max(0, ran - answered)} of {ran}'
    )


async def _main() -> None:
    for times in _TIMES:
        sys.stdout.write(f'{await measure(times)}\n')


if __name__ == '__main__':
    asyncio.run(_main())
