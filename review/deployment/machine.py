"""Nodes as processes, started as the deploy file starts them."""

import asyncio
import os
import random
import re
import socket
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
ZONE = 'z-a'
GRACE_SECONDS = 6
_MEBIBYTE = 1024 * 1024
_READY_TIMEOUT_SECONDS = 20.0
_PLACEHOLDER = re.compile(r'\{\{([a-z_.0-9]+)\}\}')


class Machine:
    """One machine: its address, its settings and the process of its node."""

    def __init__(self, host: str, ports: dict[str, int], service: str) -> None:
        self.host = host
        self.ports = ports
        self.service = service
        self.process: subprocess.Popen[bytes] | None = None
        self.highest_bytes = 0

    @property
    def pid(self) -> int:
        """The id of the node's process."""
        if self.process is None:
            raise RuntimeError('the node was not started')
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the node's process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self, folder: Path, store: str, output: Any = None) -> None:
        """Write the settings and start the node.

        Its standard output goes to ``output``, by default to a file.
        """
        path = folder / f'{self.host}.ini'
        path.write_text(self._settings(store))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = 'target/deps'
        env['LOVAGESHUNT_BOOT'] = str(path)
        command = _run_words()
        with (folder / f'{self.host}.log').open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log if output is None else output,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Ask the node until it answers that it is ready."""
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self, seconds: float = 1.0) -> bool:
        """Ask the node once, as the platform does each second."""
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ports['ready']
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: n\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    def used_bytes(self) -> int:
        """Return the memory of the process, 0 once it has ended."""
        try:
            status = Path(f'/proc/{self.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmRSS:\s+(\d+) kB', status)
        used = int(found[1]) * 1024 if found else 0
        self.highest_bytes = max(self.highest_bytes, used)
        return used

    def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def _settings(self, store: str) -> str:
        fields: dict[str, Any] = {
            'node': f'sidecar-{self.host}',
            'service': self.service,
            'zone': ZONE,
            'region': 'r-a',
            'listen.outbound': f'{self.host}:{self.ports["outbound"]}',
            'listen.inbound': f'{self.host}:{self.ports["inbound"]}',
            'listen.ready': f'{self.host}:{self.ports["ready"]}',
            'internal_ports.0': self.ports['internal'],
            'app_addr': f'{self.host}:{self.ports["app"]}',
            'platform.address': store,
            'bounds.grace_s': GRACE_SECONDS,
            'bounds.retry_budget_ratio': 0.2,
            'bounds.budget_slack': 47,
            'bounds.budget_window_s': 10,
        }
        template = (ROOT / _role()['template']).read_text()
        return _PLACEHOLDER.sub(lambda found: str(fields[found[1]]), template)


class MemoryLimit:
    """The platform's limit: a node that exceeds its memory is killed."""

    def __init__(self, machines: list[Machine], megabytes: int) -> None:
        self.limit_bytes = megabytes * _MEBIBYTE
        self.killed: list[Machine] = []
        self._machines = machines

    async def watch(self) -> None:
        """Check all nodes some times a second."""
        while True:
            for machine in self._machines:
                is_over = machine.used_bytes() > self.limit_bytes
                if is_over and machine not in self.killed:
                    self.killed.append(machine)
                    machine.end()
            await asyncio.sleep(0.03)


def new_machines(services: list[str]) -> list[Machine]:
    """Return a machine for each service, with free addresses."""
    network = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
    hosts = [f'{network}.{at + 1}' for at in range(len(services))]
    names = ('app', 'inbound', 'outbound', 'ready', 'internal')
    while True:
        base = random.randint(11000, 29000)
        ports = {name: base + at for at, name in enumerate(names)}
        if all(
            _is_free(host, port) for host in hosts for port in ports.values()
        ):
            break
    return [
        Machine(host, ports, service)
        for host, service in zip(hosts, services, strict=True)
    ]


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _role() -> dict[str, str]:
    raw = (ROOT / 'deploy' / 'system.toml').read_text()
    role: dict[str, str] = tomllib.loads(raw)['roles']['node']
    return role


def _run_words() -> list[str]:
    words = _role()['run'].split(' ')
    if words[0] == 'python3':
        words[0] = sys.executable
    return words
