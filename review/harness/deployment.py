"""A small deployment on loopback: store, instances, and nodes as processes.

Each machine is a loopback address with an instance and a node. The nodes are
started with the command and the settings template of the deploy file.
"""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import orjson

from review.harness.instance import Instance
from review.harness.record import CaseRecord
from standins.store import StoreStandIn

ROOT = Path(__file__).parents[2]
_HEARTBEAT_SECONDS = 1.5
_PORTS = ('inbound', 'outbound', 'ready', 'metrics', 'app', 'store')


class Machine:
    """A machine: its address, its instance and the process of its node."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.instance: Instance | None = None
        self.process: subprocess.Popen[bytes] | None = None


class Deployment:
    """Starts and ends the programs of a case.

    ``bounds`` are those of a small installation.
    """

    bounds = {
        'grace_s': '6',
        'retry_budget_ratio': '0.2',
        'budget_slack': '47',
        'budget_window_s': '10',
    }

    def __init__(self, folder: Path, record: CaseRecord, machines: int) -> None:
        self.record = record
        self.folder = folder
        net = random.SystemRandom().randrange(16, 250)
        self.machines = [
            Machine(f'm{number}', f'127.{net}.1.{number}', f'zone-{number % 3}')
            for number in range(1, machines + 1)
        ]
        self.store_ip = f'127.{net}.2.1'
        addresses = [machine.ip for machine in self.machines]
        self.ports = _free_ports([*addresses, self.store_ip])
        self.store = StoreStandIn(self.store_ip)
        self.store.port = self.ports['store']
        self.instances: list[Instance] = []
        self._tasks: list[asyncio.Task[None]] = []

    def outbound(self, machine: Machine) -> tuple[str, int]:
        """Return where the clients on a machine send their requests."""
        return machine.ip, self.ports['outbound']

    def configure(self, version: int, routes: list[dict[str, object]]) -> None:
        """Publish a configuration; each route is an entry of a rule set.

        The field ``host`` of a route is taken out of it.
        """
        services = {machine_service(route) for route in routes}
        listeners = [
            {'host': route['host'], 'rule_set': [_without_host(route)]}
            for route in routes
        ]
        configuration = {
            'version': f'{version:08x}',
            'listeners': listeners,
            'clusters': [
                {
                    'name': service,
                    'max_connections': 1222,
                    'health_path': '/health',
                }
                for service in sorted(services)
            ],
            'limits': {
                'max_header_bytes': 65536,
                'max_body_bytes': 16777216,
                'header_timeout_s': 10,
                'idle_timeout_s': 30,
            },
        }
        self.store.put('op/config', orjson.dumps(configuration))
        self.record.write(f'operator publishes version {version}')

    async def add(self, machine: Machine, instance: Instance) -> None:
        """Start an instance on a machine and publish it."""
        machine.instance = instance
        self.instances.append(instance)
        await instance.open()
        self.publish(instance)

    def publish(self, instance: Instance, state: str = 'ready') -> None:
        """Write the entry of an instance."""
        raw = orjson.dumps(instance.entry(state))
        self.store.put(f'servers/{instance.instance_id}', raw)

    async def start(self) -> None:
        """Start the store and the heartbeats of the instances."""
        await self.store.open()
        self._tasks.append(asyncio.create_task(self._beat()))

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine as the deploy file says."""
        settings = self.folder / f'{machine.name}.ini'
        settings.write_text(self._settings(machine), encoding='utf-8')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        log = (self.folder / f'{machine.name}.log').open('ab')
        machine.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': 'target/deps',
                'PYTHONDONTWRITEBYTECODE': '1',
                'LOVAGESHUNT_BOOT': str(settings),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record.write(f'node {machine.name} started')

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait until every node with a process answers 200 when probed."""
        async with asyncio.timeout(seconds):
            for machine in self.machines:
                while machine.process and not await self.is_ready(machine):
                    await asyncio.sleep(0.1)

    async def is_ready(self, machine: Machine) -> bool:
        """Probe a node once, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    machine.ip, self.ports['ready']
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: node\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except OSError:
            return False
        return b' 200 ' in line

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the node of a machine."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(number)
            self.record.write(f'{number.name} to the node of {machine.name}')

    def log_of(self, machine: Machine) -> str:
        """Return what the node of a machine has written."""
        return (self.folder / f'{machine.name}.log').read_text(
            encoding='utf-8', errors='replace'
        )

    def close(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for instance in self.instances:
            instance.close()
        self.store.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_SECONDS)
            for instance in self.instances:
                if f'servers/{instance.instance_id}' in self.store._items:
                    self.publish(instance)

    def _settings(self, machine: Machine) -> str:
        template = (ROOT / 'platform/node.ini').read_text(encoding='utf-8')
        ports = self.ports
        service = machine.instance.service if machine.instance else 'none'
        values = {
            'node': machine.name,
            'service': service,
            'zone': machine.zone,
            'region': 'region',
            'listen.outbound': f'{machine.ip}:{ports["outbound"]}',
            'listen.inbound': f'{machine.ip}:{ports["inbound"]}',
            'listen.ready': f'{machine.ip}:{ports["ready"]}',
            'internal_ports.0': str(ports['metrics']),
            'app_addr': f'{machine.ip}:{ports["app"]}',
            'platform.address': f'{self.store_ip}:{ports["store"]}',
        }
        for name, bound in self.bounds.items():
            values[f'bounds.{name}'] = bound
        for name, text in values.items():
            template = template.replace('{{' + name + '}}', text)
        return template


def machine_service(route: dict[str, object]) -> str:
    """Return the service of a route."""
    action = route['action']
    assert isinstance(action, dict)
    return str(action['service'])


def route(
    *,
    name: str,
    host: str,
    prefix: str,
    service: str,
    kind: str,
    timeout_s: float,
    attempts: int = 3,
    priority: int = 1,
) -> dict[str, object]:
    """Return a route in the operator's form, with its host."""
    return {
        'name': name,
        'host': host,
        'match': {'prefix': prefix},
        'route_type': kind,
        'target_latency_s': timeout_s / 2,
        'priority': priority,
        'action': {
            'service': service,
            'timeout_s': timeout_s,
            'max_attempts': attempts,
        },
    }


def run_case(main, folder: Path, seconds: float = 115) -> int:
    """Run a case; return its exit code, 2 if it could not run.

    ``main`` gets the record and a temporary folder, and returns whether the
    rule held.
    """
    record = CaseRecord(folder / 'record.txt')
    try:
        with tempfile.TemporaryDirectory() as scratch:
            holds = asyncio.run(_limited(main, record, Path(scratch), seconds))
    except Exception as error:
        record.say(f'the case could not run: {error!r}')
        return 2
    finally:
        record.close()
    return 0 if holds else 1


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


async def _limited(main, record, scratch: Path, seconds: float) -> bool:
    async with asyncio.timeout(seconds):
        return await main(record, scratch)


def _without_host(route_fields: dict[str, object]) -> dict[str, object]:
    return {
        name: field for name, field in route_fields.items() if name != 'host'
    }


def _free_ports(addresses: list[str]) -> dict[str, int]:
    """Return ports that are free at every address, below the ephemeral."""
    rng = random.SystemRandom()
    found: dict[str, int] = {}
    while len(found) < len(_PORTS):
        port = rng.randrange(10000, 30000)
        if port in found.values():
            continue
        if all(_is_free(address, port) for address in addresses):
            found[_PORTS[len(found)]] = port
    return found


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


if __name__ == '__main__':
    sys.exit('import this module from a case')
