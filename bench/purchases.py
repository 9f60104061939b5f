"""Purchases on real processes of any number of nodes, under one trouble.

Run ``python -m bench purchases TROUBLE NODES SECONDS SEED``, after the build
of the deploy file. ``freeze`` lets the nodes of two targets stand still, one
after the other; ``replace`` replaces targets that limit their calls. Prints the
purchases that ran twice, and those that were refused and ran.
"""

import asyncio
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.harness.client import Client, Sent
from review.harness.deployment import Deployment, Machine, route
from review.harness.http import Message
from review.harness.instance import Instance, Run
from review.harness.record import CaseRecord

_FAILURE_DOMAINS = 5
#: Of the nodes, so many have a target that takes the purchases.
_TARGET_SHARE = 0.2
_TIMEOUT_SECONDS = 5
_FREEZE_SECONDS = 3.5
_LATER_SECONDS = 1.2
_PAUSE_SECONDS = 3.0
_LIMIT_PER_SECOND = 10
_REPLACE_SECONDS = 0.5
_DRAIN_SECONDS = 4.0
#: After this time another target may have the address.
_REUSE_SECONDS = 2.2
#: Requests that are sent at once, so that some wait.
_BURST = 40
_STARTS_AT_ONCE = 8
_START_PAUSE_SECONDS = 0.5
_REFUSALS = frozenset((408, 421, 429, 503))

Disturb = Callable[[], Awaitable[None]]


class LimitingTarget(Instance):
    """A target that names how many calls a second it takes, if it should."""

    is_limiting = False
    is_leaving = False

    def answer(
        self, message: Message, status: int, body: bytes, extra: str = ''
    ) -> bytes:
        """Encode an answer, with the limit."""
        if self.is_limiting:
            extra = f'{extra}Server-Limit: {_LIMIT_PER_SECOND}\r\n'
        return super().answer(message, status, body, extra)


class Purchases:
    """One play: the deployment, its clients, and what its targets ran."""

    def __init__(
        self, folder: Path, record: CaseRecord, nodes: int, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.deployment = Deployment(folder, record, machines=nodes)
        for number, machine in enumerate(self.deployment.machines):
            machine.zone = f'zone-{number % _FAILURE_DOMAINS}'
        self.runs: list[Run] = []
        self.clients = [self._client(each) for each in self.deployment.machines]
        self._count = 0
        self._sending: set[asyncio.Task[Sent]] = set()

    @property
    def target_machines(self) -> list[Machine]:
        """The machines whose targets take the purchases."""
        machines = self.deployment.machines
        return machines[: max(3, round(len(machines) * _TARGET_SHARE))]

    async def start(self, *, is_limiting: bool) -> None:
        """Start the store, the targets and the nodes, a few at a time."""
        await self.deployment.start()
        self.deployment.configure(
            1,
            [
                route(
                    name='buy',
                    host='buy.example',
                    prefix='/buy/',
                    service='payments',
                    kind='non_idempotent',
                    timeout_s=_TIMEOUT_SECONDS,
                    priority=0,
                ),
            ],
        )
        for number, machine in enumerate(self.deployment.machines):
            await self.add_target(machine, is_limiting and number % 2 == 0)
            self.deployment.start_node(machine)
            if number % _STARTS_AT_ONCE == 0:
                await asyncio.sleep(_START_PAUSE_SECONDS)
        await self.deployment.wait_ready(seconds=120)

    async def add_target(self, machine: Machine, is_limiting: bool) -> None:
        """Put a new target on a machine."""
        self._count += 1
        takes_purchases = machine in self.target_machines
        target = LimitingTarget(
            instance_id=f'i-{self._count}',
            service='payments' if takes_purchases else 'balances',
            host=machine.ip,
            port=self.deployment.ports['app'],
            zone=machine.zone,
            slots=33,
            work_seconds=0.1 if is_limiting else 0.4,
            body=b'paid',
            runs=self.runs,
            record=self.deployment.record,
        )
        target.is_limiting = is_limiting
        await self.deployment.add(machine, target)

    async def send(self, per_second: float, burst: int) -> None:
        """Send purchases until cancelled."""
        while True:
            for _ in range(burst):
                client = self.rng.choice(self.clients)
                task = asyncio.create_task(client.request('POST', b'x'))
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)
            await asyncio.sleep(burst * self.rng.expovariate(per_second))

    async def finish(self) -> None:
        """Wait for the purchases in flight."""
        if self._sending:
            await asyncio.wait(self._sending, timeout=_TIMEOUT_SECONDS + 2)

    async def freeze(self) -> None:
        """Freeze pairs of nodes, again and again."""
        while True:
            origin, target = self.rng.sample(self.target_machines, 2)
            first = asyncio.create_task(self._freeze(origin))
            await asyncio.sleep(_LATER_SECONDS)
            await self._freeze(target)
            await first
            await asyncio.sleep(_PAUSE_SECONDS)

    async def replace(self) -> None:
        """Replace targets that limit their calls, one after the other."""
        replacing: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(_REPLACE_SECONDS)
            machine = self.rng.choice(self.target_machines)
            target = machine.instance
            assert isinstance(target, LimitingTarget)
            if target.is_limiting and not target.is_leaving:
                target.is_leaving = True
                task = asyncio.create_task(self._replace(machine, target))
                replacing.add(task)
                task.add_done_callback(replacing.discard)

    def summary(self) -> str:
        """Return what ran twice, and what was refused and ran."""
        targets_by_attempt: dict[str, list[str]] = {}
        for run in self.runs:
            ran_at = targets_by_attempt.setdefault(run.attempt_id, [])
            ran_at.append(run.instance_id)
        sent = [each for client in self.clients for each in client.sent]
        twice = {
            attempt: ran_at
            for attempt, ran_at in targets_by_attempt.items()
            if len(ran_at) > 1
        }
        wronged = [
            each.attempt_id
            for each in sent
            if each.status in _REFUSALS
            and each.attempt_id in targets_by_attempt
        ]
        return (
            f'{len(sent)} purchases; ran twice {len(twice)} {twice}; '
            f'refused and ran {len(wronged)} {wronged}'
        )

    async def _freeze(self, machine: Machine) -> None:
        self.deployment.signal(machine, signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_SECONDS)
        self.deployment.signal(machine, signal.SIGCONT)

    async def _replace(self, machine: Machine, target: Instance) -> None:
        self.deployment.publish(target, 'draining')
        self.deployment.instances.remove(target)
        await asyncio.sleep(_DRAIN_SECONDS)
        self.deployment.store.remove(f'servers/{target.instance_id}')
        target.close()
        await asyncio.sleep(_REUSE_SECONDS)
        await self.add_target(machine, is_limiting=True)

    def _client(self, machine: Machine) -> Client:
        return Client(
            address=self.deployment.outbound(machine),
            host='buy.example',
            prefix='/buy/',
            limit_ms=_TIMEOUT_SECONDS * 1000,
            record=self.deployment.record,
        )


async def play(trouble: str, nodes: int, seconds: float, seed: int) -> str:
    """Play one trouble; return the summary."""
    with tempfile.TemporaryDirectory() as folder:
        record = CaseRecord(Path(folder, 'record.txt'))
        purchases = Purchases(Path(folder), record, nodes, seed)
        try:
            await _play(purchases, trouble, seconds)
            return purchases.summary()
        finally:
            purchases.deployment.close()
            record.close()


async def _play(purchases: Purchases, trouble: str, seconds: float) -> None:
    disturb_by_name: dict[str, Disturb] = {
        'freeze': purchases.freeze,
        'replace': purchases.replace,
    }
    is_limiting = trouble == 'replace'
    await purchases.start(is_limiting=is_limiting)
    targets = len(purchases.target_machines)
    load = (25 * targets, _BURST) if is_limiting else (3 * targets, 1)
    tasks = (
        asyncio.ensure_future(purchases.send(*load)),
        asyncio.ensure_future(disturb_by_name[trouble]()),
    )
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await purchases.finish()


if __name__ == '__main__':
    chosen, count, length, number = sys.argv[1:]
    print(asyncio.run(play(chosen, int(count), float(length), int(number))))
