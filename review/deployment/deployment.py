"""Starts and ends a deployment, and writes the record of a case."""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.deployment.client import Attempt
from review.deployment.machine import Machine, new_machines
from review.deployment.platform import (
    publish_configuration,
    publish_server,
)
from review.deployment.server import Server
from standins.store import StoreStandIn

HELD = 0
BROKEN = 1
NOT_RUN = 2
HOST = 'shop.example'
#: A case that takes longer than this could not run.
_MAX_SECONDS = 110


class Deployment:
    """Machines, each with a node and a server, and the platform's store."""

    def __init__(self, folder: Path, servers: list[Server]) -> None:
        self.folder = folder
        self.servers = servers
        self.machines = new_machines([each.service for each in servers])
        self.store = StoreStandIn(self.machines[0].host)
        self.attempts: list[Attempt] = []
        self.lines: list[str] = []
        self.started_at = time.monotonic()
        self.tasks: list[asyncio.Task[Any]] = []

    @property
    def store_address(self) -> str:
        """The address of the store as IP:PORT."""
        return f'{self.store.host}:{self.store.port}'

    async def open(
        self,
        rules: list[dict[str, Any]],
        outputs: dict[str, Any] | None = None,
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        """Start everything; return when all nodes are ready.

        ``outputs`` are the standard outputs of nodes, by host.
        ``tenants`` are those of the configuration, if it has any.
        """
        machines = self.machines
        servers = self.servers
        await self.store.open()
        self.publish(rules, tenants)
        for machine, server in zip(machines, servers, strict=True):
            await server.open(machine.host, machine.ports['app'])
            publish_server(self.store, machine, server)
        for machine in machines:
            output = (outputs or {}).get(machine.host)
            machine.start(self.folder, self.store_address, output)
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(1)
        self.note('all nodes are ready')

    def publish(
        self,
        rules: list[dict[str, Any]],
        tenants: list[dict[str, Any]] | None = None,
        version: int = 7,
    ) -> None:
        """Write a configuration as the operator does."""
        publish_configuration(
            self.store,
            host=HOST,
            rules=rules,
            connections={each.service: 1222 for each in self.servers},
            tenants=tenants,
            version=version,
        )

    def note(self, text: str) -> None:
        """Add a line to the record."""
        seconds = time.monotonic() - self.started_at
        self.lines.append(f'{seconds:8.3f} {text}')

    def begin(self, work: Awaitable[Any]) -> None:
        """Run something beside the case."""
        self.tasks.append(asyncio.ensure_future(work))

    def began(self, attempt: Attempt) -> int:
        """Return how often servers began a request."""
        return sum(each.began[attempt.request_id] for each in self.servers)

    def line_of(self, attempt: Attempt) -> str:
        """Return what was sent, answered and run, as a line of the record."""
        line = attempt.as_line(self.started_at)
        return f'{line}, begun by servers: {self.began(attempt)}'

    def address_of(self, machine: Machine) -> tuple[str, int]:
        """Return where the clients of a machine send their requests."""
        return machine.host, machine.ports['outbound']

    async def close(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for machine in self.machines:
            machine.end()
        for server in self.servers:
            server.close()
        self.store.close()


def run_case(
    case_folder: Path,
    servers: list[Server],
    play: Callable[[Deployment, bool], Awaitable[int]],
) -> None:
    """Play a case with or without its disruption, record it and exit."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(
            asyncio.run(
                _run(Path(folder), case_folder, servers, play, has_trouble)
            )
        )


async def _run(
    folder: Path,
    case_folder: Path,
    servers: list[Server],
    play: Callable[[Deployment, bool], Awaitable[int]],
    has_trouble: bool,
) -> int:
    deployment = Deployment(folder, servers)
    code = NOT_RUN
    try:
        async with asyncio.timeout(_MAX_SECONDS):
            code = await play(deployment, has_trouble)
    except Exception as error:
        deployment.note(f'could not run: {error!r}')
    finally:
        await deployment.close()
    verdict = {HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'could not run'}[code]
    lines = [
        *deployment.lines,
        *map(deployment.line_of, deployment.attempts),
        f'trouble: {has_trouble}, the rule: {verdict}',
    ]
    (case_folder / 'record.txt').write_text('\n'.join(lines) + '\n')
    for line in deployment.lines:
        print(line)
    print(lines[-1])
    return code
