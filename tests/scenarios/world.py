"""The deployment that all scenarios share, and its callers."""

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


class AttemptResult:
    """The response to one attempt.

    ``outcome`` is that of the answer header, or empty without the header.
    """

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        answer = headers.get('lovageshunt-answer')
        self.outcome = orjson.loads(answer)['outcome'] if answer else ''

    @property
    def retry_after(self) -> int:
        """Return the Retry-After delay in seconds; 0 without the header."""
        return int(self.headers.get('retry-after', 0))


class World:
    """The deployment, its callers and their results by request id."""

    def __init__(self, folder: Path) -> None:
        """Plan the deployment; ``start`` starts its processes."""
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
        self.first_sent_at_by_id: dict[str, float] = {}
        self.results_by_id: dict[str, list[AttemptResult]] = {}
        self.session: aiohttp.ClientSession | None = None
        self.client: Client | None = None
        self.crashes = 0
        self.exit_code: int | None = None
        self.digests: list[str] = []

    def run(self, work: Any) -> Any:
        """Run a coroutine to completion on the shared event loop."""
        return self.loop.run_until_complete(work)

    async def start(self) -> None:
        """Start the deployment, an HTTP caller and one with the library."""
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
        """Stop the callers and the deployment."""
        await self.client.close()
        await self.session.close()
        await self.fleet.stop()

    async def restore(self) -> None:
        """Undo what the previous scenario stopped or changed."""
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
        timeout_seconds: float = 6,
    ) -> AttemptResult | None:
        """Send one attempt as a caller without the library.

        Return ``None`` if there is no response within ``timeout_seconds``.
        """
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
                timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            ) as response:
                result = AttemptResult(
                    response.status,
                    response.headers,
                    await response.read(),
                )
        except (TimeoutError, aiohttp.ClientError):
            return None
        self.results_by_id.setdefault(request_id, []).append(result)
        return result

    def age_ms(self, request_id: str) -> int:
        """Return the milliseconds since the request was first sent."""
        first_sent_at = self.first_sent_at_by_id.setdefault(
            request_id, time.monotonic()
        )
        return int(1000 * (time.monotonic() - first_sent_at))

    def runs(self, request_id: str) -> int:
        """Return how many times a request ran on the targets of payments."""
        return self.count_events('payments', 'ran', request_id)

    def count_events(self, service: str, kind: str, request_id: str) -> int:
        """Return how many events of a kind targets recorded for a request."""
        execution_events = self.fleet.execution_events(service)
        return sum(
            line[0] == kind and line[1] == request_id
            for line in execution_events
        )

    async def restart_crashed(self) -> None:
        """Restart the targets that crashed, and count them."""
        for vm in self.fleet.vms:
            if vm.target_process.returncode is None:
                continue
            self.crashes += 1
            await self.fleet.start_target(vm.name)
        for vm in self.fleet.vms:
            await self.fleet.wait_for(vm.name)
