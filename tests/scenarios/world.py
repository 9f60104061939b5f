"""One small deployment that all scenarios share, and its callers."""

import asyncio
import time
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from lovageshunt.client import Client, ClientOptions
from lovageshunt.rules import encode_document, parse_sheet
from standins.fleet import Fleet, ServicePlan

_SHEET = """deployment;scenarios
generation;{generation}
service;kind;method;path;importance;repeatable;timeout_seconds;retry_bound
payments;purchase;POST;/tokens;0;no;5;6
payments;history;GET;/tokens;4;yes;{timeout};6
screens;screen;GET;/screen;4;yes;5;6
records;record;GET;/records;5;yes;4;6
"""
_FIELD_BY_OUTCOME = 'outcome'


class Told:
    """What one attempt was told."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        """Read the control part, if there is one."""
        self.status = status
        self.headers = headers
        self.body = body
        said = headers.get('lovageshunt-answer')
        self.outcome = orjson.loads(said)['outcome'] if said else ''

    @property
    def retry_after(self) -> int:
        """Return when to come back, in seconds; 0 if it was not told."""
        return int(self.headers.get('retry-after', 0))


class World:
    """The deployment, its callers, and what they were told by request."""

    def __init__(self, folder: Path) -> None:
        """Plan the deployment; ``start`` brings it up."""
        self.loop = asyncio.new_event_loop()
        self.fleet = Fleet(
            folder,
            [
                ServicePlan('payments', instances=3, slots=20, service_ms=5),
                ServicePlan(
                    'screens',
                    instances=1,
                    slots=20,
                    service_ms=5,
                    calls=(('records', '/records'),),
                ),
                ServicePlan('records', instances=1, slots=20, service_ms=5),
            ],
        )
        self.generation = 1
        self.began_by_id: dict[str, float] = {}
        self.told_by_id: dict[str, list[Told]] = {}
        self.session: aiohttp.ClientSession | None = None
        self.client: Client | None = None
        self.crashes = 0
        self.exit_code: int | None = None
        self.digests: list[str] = []

    def run(self, work: Any) -> Any:
        """Run a coroutine to its end on the world's loop."""
        return self.loop.run_until_complete(work)

    async def start(self) -> None:
        """Bring up the deployment and two kinds of callers."""
        self.session = aiohttp.ClientSession()
        try:
            await self.fleet.start(self.document(1))
        except BaseException:
            await self.fleet.stop()
            raise
        self.client = Client(
            ClientOptions(
                name='phone',
                failure_domain='a',
                seeds=tuple(vm.ingress for vm in self.fleet.vms),
                services=('payments',),
                view_seconds=0.3,
            ),
        )
        await self.client.start()

    async def stop(self) -> None:
        """Stop everything that runs."""
        await self.client.close()
        await self.session.close()
        await self.fleet.stop()

    async def restore(self) -> None:
        """Bring back what the scenario before has stopped or changed."""
        await self.fleet.control_platform({'outage': False, 'stale': False})
        for vm in self.fleet.vms:
            is_listed = vm.state == 'live'
            vm.state = 'live'
            if is_listed and vm.is_running:
                continue
            await self.fleet.kill_vm(vm.name)
            await self.fleet.start_vm(vm.name)
        await self.fleet.publish_vms()
        for vm in self.fleet.vms:
            await self.fleet.wait_for(vm.name)
            await self.fleet.control_target(vm.name, service_ms=5)

    def document(self, generation: int, timeout: int = 5) -> Any:
        """Return the rules of one generation."""
        sheet = _SHEET.format(generation=generation, timeout=timeout)
        accepted = parse_sheet(sheet.encode())
        document = accepted.ok.document
        return orjson.loads(encode_document(document))

    async def send(
        self,
        node: str,
        request_id: str,
        *,
        attempt: int | None = 1,
        method: str = 'POST',
        path: str = '/tokens',
        body: bytes = b'{}',
        poison: bool = False,
        patience: float = 6,
    ) -> Told | None:
        """Send one attempt as a caller without the library does."""
        headers = {'idempotency-key': request_id}
        if attempt is not None:
            headers['lovageshunt-attempt'] = str(attempt)
            headers['lovageshunt-age-ms'] = str(self.age_ms(request_id))
        if poison:
            headers['x-poison'] = '1'
        url = f'http://{self.fleet.vm_by_name[node].ingress}{path}'
        try:
            async with self.session.request(
                method,
                url,
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=patience),
            ) as response:
                told = Told(
                    response.status,
                    response.headers,
                    await response.read(),
                )
        except (TimeoutError, aiohttp.ClientError):
            return None
        self.told_by_id.setdefault(request_id, []).append(told)
        return told

    def age_ms(self, request_id: str) -> int:
        """Return the time since a request was first sent."""
        began_at = self.began_by_id.setdefault(request_id, time.monotonic())
        return int(1000 * (time.monotonic() - began_at))

    def runs(self, request_id: str) -> int:
        """Return how often a request ran on any target of payments."""
        return self.lines('payments', 'ran', request_id)

    def lines(self, service: str, what: str, request_id: str) -> int:
        """Return how often targets witnessed something of a request."""
        execution_events = self.fleet.execution_events(service)
        return sum(
            line[0] == what and line[1] == request_id
            for line in execution_events
        )

    async def restart_crashed(self) -> None:
        """Start again the targets that went down, and count them."""
        for vm in self.fleet.vms:
            if vm.target_process.returncode is None:
                continue
            self.crashes += 1
            await self.fleet.start_target(vm.name)
        for vm in self.fleet.vms:
            await self.fleet.wait_for(vm.name)
