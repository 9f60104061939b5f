"""Runs a small deployment as processes: platform, nodes and targets.

The product itself starts no processes; operators do that in production.
"""

import asyncio
import os
import signal
import socket
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import orjson

_START_TIMEOUT_SECONDS = 30.0
_POLL_INTERVAL_SECONDS = 0.1
_STOP_TIMEOUT_SECONDS = 20.0
_ASSIGNED_PORTS: set[int] = set()
_OCTET_VALUES = 250
#: Tests use lower ones for hosts of their own.
_LAST_OCTET = 251
_FAILURE_DOMAINS = ('a', 'b', 'c')


class ServicePlan:
    """Configuration of one service of a deployment.

    ``slots`` is the number of concurrent requests per target, ``service_ms``
    the duration of one request in ms; ``calls`` are pairs of service and
    path that every request calls.
    """

    __slots__ = ('name', 'instances', 'slots', 'service_ms', 'calls')

    def __init__(
        self,
        name: str,
        *,
        instances: int,
        slots: int,
        service_ms: float,
        calls: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.name = name
        self.instances = instances
        self.slots = slots
        self.service_ms = service_ms
        self.calls = calls


class Vm:
    """One VM: a node and its target, their addresses and processes.

    ``ingress``, ``admin`` and ``target`` are free loopback addresses;
    ``state`` is the published state, such as ``live``.
    """

    __slots__ = (
        'name',
        'plan',
        'failure_domain',
        'ingress',
        'admin',
        'target',
        'state',
        'node_process',
        'target_process',
    )

    def __init__(self, name: str, plan: ServicePlan, domain: str) -> None:
        self.name = name
        self.plan = plan
        self.failure_domain = domain
        self.ingress = free_address()
        self.admin = free_address()
        self.target = free_address()
        self.state = 'live'
        self.node_process: asyncio.subprocess.Process | None = None
        self.target_process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the node and the target processes are both running."""
        return all(
            process is not None and process.returncode is None
            for process in (self.node_process, self.target_process)
        )

    def published_entry(self) -> dict[str, str]:
        """Return the VM's entry in the published ``vms`` document."""
        return {
            'name': self.name,
            'service': self.plan.name,
            'failure_domain': self.failure_domain,
            'region': 'one',
            'address': self.ingress,
            'admin_address': self.admin,
            'state': self.state,
        }


class Fleet:
    """A running deployment, with controls to inject failures.

    ``folder`` receives settings, logs and witness files. ``start`` must be
    awaited before any request.
    """

    def __init__(self, folder: Path, plans: list[ServicePlan]) -> None:
        self.folder = folder
        self.platform_address = free_address()
        self.vms = [
            Vm(f'{plan.name}-{index + 1}', plan, _failure_domain(index))
            for plan in plans
            for index in range(plan.instances)
        ]
        self.vm_by_name = {vm.name: vm for vm in self.vms}
        self._platform: asyncio.subprocess.Process | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self, rules: dict[str, Any] | None = None) -> None:
        """Start the platform and all VMs; return when all are ready.

        Raises ``RuntimeError`` if a process exits, ``TimeoutError`` if one
        is not ready in time.
        """
        self._session = aiohttp.ClientSession()
        self._platform = await self._spawn(
            'platform', '-m', 'standins.platform', self.platform_address
        )
        await self._wait_until_up(
            f'http://{self.platform_address}/v1/values/none'
        )
        if rules is not None:
            await self.publish('rules', rules)
        await self.publish_vms()
        for vm in self.vms:
            await self.start_vm(vm.name)
        for vm in self.vms:
            await self.wait_for(vm.name)

    async def stop(self) -> None:
        """Kill all running processes."""
        processes = [
            process
            for vm in self.vms
            for process in (vm.node_process, vm.target_process)
        ]
        for process in (*processes, self._platform):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if self._session is not None:
            await self._session.close()

    async def start_vm(self, name: str) -> None:
        """Start a VM's node and target without state of an earlier run."""
        await self.start_node(name)
        await self.start_target(name)

    async def start_node(self, name: str) -> None:
        """Write the node's settings file and start the node."""
        vm = self.vm_by_name[name]
        path = self.folder / f'{name}.ini'
        path.write_text(self._node_settings(vm), encoding='utf-8')
        vm.node_process = await self._spawn(
            f'{name}.node',
            '-m',
            'lovageshunt.cli',
            'node',
            f'--settings={path}',
        )

    async def start_target(self, name: str) -> None:
        """Write the target's specification file and start the target."""
        vm = self.vm_by_name[name]
        path = self.folder / f'{name}.json'
        path.write_bytes(orjson.dumps(self._target_spec(vm)))
        vm.target_process = await self._spawn(
            f'{name}.target', '-m', 'standins.target', str(path)
        )

    async def wait_for(self, name: str) -> None:
        """Wait until a VM's target is healthy and its node is ready."""
        vm = self.vm_by_name[name]
        await self._wait_until_up(f'http://{vm.target}/health')
        await self._wait_until_up(f'http://{vm.admin}/v1/ready')

    async def publish(self, name: str, document: object) -> None:
        """Publish a value on the platform, as operators do."""
        await self.control_platform({'publish': {name: document}})

    async def publish_vms(self) -> None:
        """Publish the current entries of all VMs."""
        await self.publish('vms', [vm.published_entry() for vm in self.vms])

    async def control_platform(self, command: dict[str, Any]) -> None:
        """Send a control command to the platform; see ``PlatformState``."""
        await self._post(f'http://{self.platform_address}/control', command)

    async def control_target(self, name: str, **fields: Any) -> None:
        """Set fields of a target's ``TargetSpec`` while it runs."""
        vm = self.vm_by_name[name]
        await self._post(f'http://{vm.target}/control', fields)

    async def stop_node(self, name: str) -> int:
        """Stop a node with SIGTERM; return its exit code.

        Raises ``TimeoutError`` if it does not exit in time.
        """
        process = self._node(name)
        process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(process.wait(), _STOP_TIMEOUT_SECONDS)

    def signal_node(self, name: str) -> None:
        """Send SIGTERM without waiting, for example while a node stops."""
        self._node(name).send_signal(signal.SIGTERM)

    async def kill_vm(self, name: str) -> None:
        """Kill a VM's node and target with SIGKILL."""
        vm = self.vm_by_name[name]
        for process in (vm.node_process, vm.target_process):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()

    def suspend_node(self, name: str) -> None:
        """Suspend a node's process with SIGSTOP."""
        self._node(name).send_signal(signal.SIGSTOP)

    def resume_node(self, name: str) -> None:
        """Resume a suspended node's process with SIGCONT."""
        self._node(name).send_signal(signal.SIGCONT)

    async def admin(self, name: str, path: str) -> Any:
        """Return the JSON that a node's admin API answers."""
        url = f'http://{self.vm_by_name[name].admin}{path}'
        async with self._client().get(url) as response:
            return orjson.loads(await response.read())

    def execution_events(self, service: str) -> list[tuple[str, str, str]]:
        """Return event, request id and call id of all records of a service."""
        lines = [
            line.split(' ')
            for path in self.folder.glob(f'{service}-*.witness')
            for line in path.read_text(encoding='utf-8').splitlines()
        ]
        return [(event, request, call) for event, _, request, call in lines]

    def execution_counts(self, service: str) -> Counter[str]:
        """Return the executions by call id, over all targets of a service."""
        return Counter(
            call
            for event, _, call in self.execution_events(service)
            if event == 'ran'
        )

    def _node(self, name: str) -> asyncio.subprocess.Process:
        process = self.vm_by_name[name].node_process
        if process is None:
            raise RuntimeError(
                f'node {name} is not started; call start_node() first'
            )
        return process

    async def _spawn(self, log_name: str, *command: str) -> Any:
        with (self.folder / f'{log_name}.log').open('ab') as output:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={
                    **os.environ,
                    'PYTHONPATH': os.pathsep.join(['src', '.']),
                },
            )

    async def _wait_until_up(self, url: str) -> None:
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while not await self._responds(url):
                self._raise_if_exited()
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def _raise_if_exited(self) -> None:
        for vm in filter(_has_failed, self.vms):
            logs = ''.join(
                log.read_text(encoding='utf-8')
                for log in self.folder.glob(f'{vm.name}.*.log')
            )
            raise RuntimeError(f'{vm.name} exited during start: {logs[-2000:]}')

    async def _responds(self, url: str) -> bool:
        try:
            async with self._client().get(url) as response:
                return response.status < 500
        except aiohttp.ClientError:
            return False

    async def _post(self, url: str, command: dict[str, Any]) -> None:
        async with self._client().post(
            url, data=orjson.dumps(command)
        ) as response:
            response.raise_for_status()

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise RuntimeError('the fleet is not started; await start() first')
        return self._session

    def _node_settings(self, vm: Vm) -> str:
        services = ', '.join(service for service, _ in vm.plan.calls)
        return (
            f'[node]\nname = {vm.name}\nservice = {vm.plan.name}\n'
            f'failure_domain = {vm.failure_domain}\nregion = one\n'
            f'[listen]\ningress = {vm.ingress}\nadmin = {vm.admin}\n'
            f'[target]\naddress = {vm.target}\nslots = {vm.plan.slots}\n'
            f'connections = {vm.plan.slots * 8}\n'
            f'[platform]\naddresses = {self.platform_address}\n'
            f'[calls]\nservices = {services}\n'
            '[limits]\nsettle_seconds = 1\ntransit_seconds = 1\n'
        )

    def _target_spec(self, vm: Vm) -> dict[str, Any]:
        return {
            'name': vm.name,
            'service': vm.plan.name,
            'listen': vm.target,
            'node': vm.ingress,
            'failure_domain': vm.failure_domain,
            'slots': vm.plan.slots,
            'service_ms': vm.plan.service_ms,
            'calls': [
                {'service': service, 'path': path}
                for service, path in vm.plan.calls
            ],
            'witness': str(self.folder / f'{vm.name}.witness'),
        }


def free_address() -> str:
    """Return a free loopback address, never the same one twice.

    No other process uses its host, and connections start from another one, so
    that none takes the port before a process listens there.
    """
    host = own_host()
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if port not in _ASSIGNED_PORTS:
            _ASSIGNED_PORTS.add(port)
            return f'{host}:{port}'


def own_host() -> str:
    """Return a loopback host, different in each process that runs fleets."""
    high, low = divmod(os.getpid(), _OCTET_VALUES)
    return f'127.{1 + high % _OCTET_VALUES}.{low}.{_LAST_OCTET}'


def _has_failed(vm: Vm) -> bool:
    processes = (vm.node_process, vm.target_process)
    return any(
        process and (process.returncode or 0) > 0 for process in processes
    )


def _failure_domain(index: int) -> str:
    return _FAILURE_DOMAINS[index % len(_FAILURE_DOMAINS)]
