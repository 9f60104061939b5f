"""Two machines freeze one after the other, and an order runs twice."""

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

from review.harness.client import Client, Sent
from review.harness.deployment import (
    Deployment,
    Machine,
    has_trouble,
    route,
    run_case,
)
from review.harness.instance import Instance, Run
from review.harness.record import CaseRecord

_MACHINES = 13
#: Of the machines, as many have an instance that takes the orders.
_TARGETS = 3
#: Orders a second: 22.9 on the sheet.
_ORDERS_PER_SECOND = 22.9
_ORDER_LIMIT_MS = 6000
_ORDER_SECONDS = 0.21
#: Lookups that other instances send to the same instances, a second.
_LOOKUPS_PER_SECOND = 60
_LOOKUP_LIMIT_MS = 3000
#: How long each machine freezes, and how much later the second one does.
_FREEZE_SECONDS = 3.5
_LATER_SECONDS = 1.2
_ROUNDS = 8
_PAUSE_SECONDS = 6.0
_PROMISES = frozenset((408, 421, 429, 503))


class Traffic:
    """The clients of the orders, and the calls of instances."""

    def __init__(self, deployment: Deployment, record: CaseRecord) -> None:
        self.orders = [
            _client(deployment, machine, 'orders', _ORDER_LIMIT_MS, record)
            for machine in deployment.machines
        ]
        self.lookups = [
            _client(deployment, machine, 'lookups', _LOOKUP_LIMIT_MS, record)
            for machine in deployment.machines[_TARGETS:]
        ]
        self._pending: set[asyncio.Task[Sent]] = set()

    async def send(self, clients: list[Client], per_second: float) -> None:
        """Send requests until cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            client = random.choice(clients)
            is_order = clients is self.orders
            method = 'POST' if is_order else 'GET'
            body = random.randbytes(1200) if is_order else b''
            task = asyncio.create_task(client.request(method, body))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            due += random.expovariate(per_second)
            await asyncio.sleep(max(0, due - loop.time()))

    async def finish(self) -> None:
        """Wait for the requests that are in flight."""
        if self._pending:
            await asyncio.wait(self._pending)


def _client(
    deployment: Deployment,
    machine: Machine,
    name: str,
    limit_ms: int,
    record: CaseRecord,
) -> Client:
    return Client(
        address=deployment.outbound(machine),
        host=f'{name}.example',
        prefix=f'/{name}/',
        limit_ms=limit_ms,
        record=record,
    )


async def _freeze(deployment: Deployment, machine: Machine) -> None:
    deployment.signal(machine, signal.SIGSTOP)
    await asyncio.sleep(_FREEZE_SECONDS)
    deployment.signal(machine, signal.SIGCONT)


async def _disturb(deployment: Deployment, orders: list[Client]) -> None:
    """Freeze a machine while its order runs, then that of the instance."""
    pair = None
    async with asyncio.timeout(20):
        while pair is None:
            await asyncio.sleep(0.01)
            pair = _pair_with_order(deployment, orders)
    origin, target = pair
    first = asyncio.create_task(_freeze(deployment, origin))
    await asyncio.sleep(_LATER_SECONDS)
    await _freeze(deployment, target)
    await first


def _pair_with_order(
    deployment: Deployment, orders: list[Client]
) -> tuple[Machine, Machine] | None:
    """Return a machine and another one that runs its order now."""
    for origin, client in zip(deployment.machines, orders, strict=True):
        recent = {each.attempt_id for each in client.sent[-5:]}
        for target in deployment.machines[:_TARGETS]:
            instance = target.instance
            assert instance is not None
            if target is not origin and recent & instance.running_ids:
                return origin, target
    return None


async def main(record: CaseRecord, scratch: Path) -> bool:
    """Run the case; return whether the rules held."""
    deployment = Deployment(scratch, record, machines=_MACHINES)
    try:
        return await _run(deployment, record)
    finally:
        deployment.close()


async def _start(deployment: Deployment, runs: list[Run]) -> None:
    await deployment.start()
    deployment.configure(
        12,
        [
            route(
                name='hacer-pedido',
                host='orders.example',
                prefix='/orders/',
                service='pedidos',
                kind='non_idempotent',
                timeout_s=_ORDER_LIMIT_MS / 1000,
                priority=0,
            ),
            route(
                name='leer-cupo',
                host='lookups.example',
                prefix='/lookups/',
                service='pedidos',
                kind='idempotent',
                timeout_s=_LOOKUP_LIMIT_MS / 1000,
            ),
        ],
    )
    for number, machine in enumerate(deployment.machines):
        instance = Instance(
            instance_id=f'i-{machine.name}',
            service='pedidos' if number < _TARGETS else 'listas',
            host=machine.ip,
            port=deployment.ports['app'],
            zone=machine.zone,
            slots=51,
            work_seconds=_ORDER_SECONDS,
            body=b'placed' * 60,
            runs=runs,
            record=deployment.record,
        )
        await deployment.add(machine, instance)
        deployment.start_node(machine)
    await deployment.wait_ready()
    await asyncio.sleep(2)


async def _run(deployment: Deployment, record: CaseRecord) -> bool:
    runs: list[Run] = []
    await _start(deployment, runs)
    traffic = Traffic(deployment, record)
    tasks = [
        asyncio.create_task(traffic.send(traffic.orders, _ORDERS_PER_SECOND)),
        asyncio.create_task(traffic.send(traffic.lookups, _LOOKUPS_PER_SECOND)),
    ]
    await asyncio.sleep(3)
    for _ in range(_ROUNDS):
        if has_trouble():
            await _disturb(deployment, traffic.orders)
        else:
            await asyncio.sleep(_LATER_SECONDS + _FREEZE_SECONDS)
        await asyncio.sleep(_PAUSE_SECONDS)
    for task in tasks:
        task.cancel()
    await traffic.finish()
    sent = [each for client in traffic.orders for each in client.sent]
    return _judge(sent, runs, record)


def _judge(sent: list[Sent], runs: list[Run], record: CaseRecord) -> bool:
    ran = Counter(run.attempt_id for run in runs)
    twice = [each for each in sent if ran[each.attempt_id] > 1]
    refused = [
        each
        for each in sent
        if each.status in _PROMISES and ran[each.attempt_id]
    ]
    for each in twice:
        record.say(
            f'TWICE {each.attempt_id}: {ran[each.attempt_id]} runs, the'
            f' client got {each.status}'
        )
    for each in refused:
        record.say(f'REFUSED {each.attempt_id}: {each.status}, but it ran')
    by_status = dict(Counter(each.status for each in sent))
    record.say(
        f'orders sent {len(sent)}, by status {by_status};'
        f' TWICE {len(twice)}, REFUSED {len(refused)}'
    )
    return not twice and not refused


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).parent))
