"""Sidecars and targets on loopback, each pair on its own address."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from lovageshunt.admission import LoadReported, RateLimitReported
from lovageshunt.routes import (
    ClientAccount,
    Configuration,
    Destination,
    Route,
    ServiceLimits,
)
from lovageshunt.settings import (
    Address,
    BoundsSection,
    LogsSection,
    NodeSection,
    SidecarListenSection,
    SidecarSettings,
    SidecarTargetSection,
    StoreSection,
)
from lovageshunt.sidecar import HeaderNames, Sidecar, TargetEntry
from tests.loopback import own_host
from tests.sidecar.fake_target import TARGET_PORT, FakeTarget, Received

HEADER_NAMES = HeaderNames(
    attempt_id=b'x-attempt',
    time_left=b'x-left',
    target_id=b'x-target',
    caller_service=b'x-caller',
    account_key=b'x-key',
    account=b'x-account',
    proof=b'x-proof',
    not_run=b'x-not-run',
    leaving=b'x-leaving',
    load=b'x-load',
    read_load=lambda text: LoadReported(running=0, slots=int(text)),
    rate_limit=b'x-limit',
    read_rate_limit=lambda text: RateLimitReported(per_second=float(text)),
)
CLIENTS_PORT = 18301
NODES_PORT = 18302
READY_PORT = 18303
METRICS_PORT = 18305


class World:
    """Nodes that each have a target of the service ``s`` beside them."""

    def __init__(self, count: int) -> None:
        self.hosts = [own_host(at + 1) for at in range(count)]
        self.targets = [FakeTarget(host) for host in self.hosts]
        self.nodes = [new_node(host) for host in self.hosts]
        self.tasks: list[asyncio.Task[None]] = []
        self.accounts: tuple[ClientAccount, ...] = ()
        self._restarting = [asyncio.Lock() for _ in self.hosts]

    async def open(self) -> None:
        for target in self.targets:
            await target.open()
        for node in self.nodes:
            self.tasks.append(asyncio.ensure_future(node.run()))
        await asyncio.sleep(0.05)

    def publish(
        self, *services: str, accounts: tuple[ClientAccount, ...] = ()
    ) -> None:
        """Give every node all targets and routes to ``services``."""
        self.accounts = accounts
        for node in self.nodes:
            node.fleet_state.apply_configuration(
                configuration(*(services or ('s',)), accounts=accounts)
            )
            node.fleet_state.apply_targets(self.entries(), 1)

    def entries(self, slots: int = 4) -> list[TargetEntry]:
        return [
            TargetEntry(
                target_id=f'i-{at}',
                service='s',
                host=host,
                port=TARGET_PORT,
                failure_domain=host,
                slots=slots,
                is_leaving=False,
                cold_seconds=0,
                started_ms=1,
            )
            for at, host in enumerate(self.hosts)
        ]

    async def restart_node(self, at: int) -> None:
        """Replace a node by a new process that knows nothing.

        A node that is replaced while it starts would go on to listen, so one
        is replaced after the other.
        """
        async with self._restarting[at]:
            await self._end_node(at)
            await asyncio.sleep(0.05)
            node = new_node(self.hosts[at])
            self.nodes[at] = node
            self.tasks[at] = asyncio.ensure_future(node.run())
            await asyncio.sleep(0.05)
            node.fleet_state.apply_configuration(
                configuration('s', accounts=self.accounts)
            )
            node.fleet_state.apply_targets(self.entries(), 1)
        await asyncio.sleep(0.3)

    async def _end_node(self, at: int) -> None:
        self.nodes[at].close()
        self.tasks[at].cancel()
        await asyncio.wait((self.tasks[at],))
        self.nodes[at].close()

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
        for node in self.nodes:
            node.close()
        for target in self.targets:
            target.end()


@asynccontextmanager
async def world_of(
    count: int, *, is_published: bool = True
) -> AsyncIterator[World]:
    """Run ``count`` nodes and targets during a test."""
    world = World(count)
    try:
        await world.open()
        if is_published:
            world.publish()
            await asyncio.sleep(0.1)
        yield world
    finally:
        await world.close()


def new_node(host: str) -> Sidecar:
    return Sidecar(settings(host), HEADER_NAMES, int)


def settings(host: str) -> SidecarSettings:
    return SidecarSettings(
        node=NodeSection(
            name=f'node-{host}',
            service='own',
            failure_domain=host,
            region='r',
        ),
        listen=SidecarListenSection(
            clients=Address(host=host, port=CLIENTS_PORT),
            nodes=Address(host=host, port=NODES_PORT),
            ready=Address(host=host, port=READY_PORT),
            metrics_port=METRICS_PORT,
        ),
        target=SidecarTargetSection(
            address=Address(host=host, port=TARGET_PORT),
            slots=4,
        ),
        platform=StoreSection(
            address=Address(host=host, port=1),
        ),
        bounds=BoundsSection(
            stop_seconds=6,
            retry_ratio=0.2,
            retry_reserve=100,
            retry_window_seconds=10,
        ),
        logs=LogsSection(level='info', records_per_second=50),
    )


def configuration(
    *services: str,
    version: int = 1,
    accounts: tuple[ClientAccount, ...] = (),
) -> Configuration:
    """Return a repeatable route ``/read/`` and ``/buy/``, which is not.

    With accounts there is a public route ``/open/`` too.
    """
    prefixes = (
        ('/read/', '/buy/', '/open/') if accounts else ('/read/', '/buy/')
    )
    destinations = tuple(
        Destination(service=service, weight=1) for service in services
    )
    return Configuration(
        version=version,
        routes=tuple(
            Route(
                name=prefix,
                host='x.example',
                prefix=prefix,
                destinations=destinations,
                is_repeatable=prefix != '/buy/',
                is_public=prefix == '/open/',
                most_attempts=2,
                timeout_seconds=2,
                aim_seconds=1,
                importance=1,
            )
            for prefix in prefixes
        ),
        limits_by_service={
            's': ServiceLimits(service='s', connections=20),
        },
        head_bytes=16384,
        body_bytes=100000,
        head_seconds=3,
        idle_seconds=15,
        accounts=accounts,
    )


def encode(
    path: str,
    *,
    body: bytes = b'',
    extra: str = '',
    left_ms: int = 1500,
    attempt: str = '',
) -> bytes:
    """Encode a client's request."""
    method = 'POST' if body else 'GET'
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: x.example\r\n'
        f'X-Attempt: {attempt or path}\r\nX-Left: {left_ms}\r\n'
        f'Content-Length: {len(body)}\r\n{extra}\r\n'
    )
    return head.encode() + body


class Client:
    """One client connection to a node."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, path: str, **parts: Any) -> None:
        self.writer.write(encode(path, **parts))

    async def read(self) -> Received:
        async with asyncio.timeout(4):
            head = await self.reader.readuntil(b'\r\n\r\n')
            received = Received(head[:-4], b'')
            size = int(received.headers.get('content-length', '0'))
            received.body = await self.reader.readexactly(size)
        return received

    async def ask(self, path: str, **parts: Any) -> Received:
        self.send(path, **parts)
        return await self.read()


async def client_of(host: str) -> Client:
    """Connect a client from an address other than the target's."""
    reader, writer = await asyncio.open_connection(
        host,
        CLIENTS_PORT,
        local_addr=('127.0.8.1', 0),
    )
    return Client(reader, writer)


def status_of(received: Received) -> int:
    return int(received.line.split()[1])


async def wait_until(
    condition: Callable[[], object], seconds: float = 2
) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
