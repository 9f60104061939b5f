"""Nodes as processes of their own, with targets and a store beside them."""

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import orjson
import psutil

from standins.store import StoreStandIn
from tests.loopback import own_host
from tests.platform.entry import ENTRY
from tests.platform.test_configuration import published

ROOT = Path(__file__).parents[2]
HOST_FIELD = 'Host: h.example'
#: The memory of the smallest machine that nodes run on, in bytes.
MACHINE_BYTES = 200 * 1000 * 1000
_MEMORY_INTERVAL_SECONDS = 0.02
_SETTLE_SECONDS = 2
#: A process that grows by less has settled, in bytes.
_SETTLED_BYTES = 1_000_000
#: Guards against a test that hangs; no test is about this time.
_GUARD_SECONDS = 60


#: Paths at which a target does not behave as usual, see ``Target``.
UNREAD = '/a/unread'
HELD = '/a/held'
LARGE_ANSWER = '/a/large'
ENDLESS_TRAILERS = '/a/trailers'
LARGE_ANSWER_BYTES = 3 * 1024 * 1024
#: The trailing fields that a target sends at once.
_TRAILERS = b'a:\r\n' * 65_000


class Target:
    """A target that reads each request whole and answers 200.

    It reads no body at ``UNREAD`` and answers nothing at ``HELD`` before
    ``released`` is set. At ``ENDLESS_TRAILERS`` it sends a body whose trailing
    fields do not end.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.body_bytes: list[int] = []
        self.released = asyncio.Event()

    async def open(self) -> asyncio.Server:
        host, port = self.address.split(':')
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().lower().split('\r\n')
                path = lines[0].split(' ')[1]
                fields = dict(
                    line.split(': ', 1) for line in lines if ': ' in line
                )
                if path in {UNREAD, HELD}:
                    await self.released.wait()
                if path == ENDLESS_TRAILERS:
                    await self._send_trailers(writer)
                left = int(fields.get('content-length', '0'))
                self.body_bytes.append(left)
                while left:
                    left -= len(await reader.read(min(left, 65536)))
                attempt = fields['lovageshunt-attempt-id']
                size = LARGE_ANSWER_BYTES if path == LARGE_ANSWER else 2
                writer.write(
                    f'HTTP/1.1 200 OK\r\nLovageshunt-Attempt-Id: {attempt}\r\n'
                    'Lovageshunt-Response-Seal: s\r\n'
                    f'Content-Length: {size}\r\n\r\n'.encode()
                )
                writer.write(b'k' * size)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _send_trailers(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        writer.write(b'4\r\ndone\r\n0\r\n' + _TRAILERS)
        await writer.drain()
        await self.released.wait()
        raise ConnectionResetError


class NodeProcess:
    """One node as a process; ``most_bytes`` is the most memory it held.

    ``clients``, ``ready`` and ``links`` are the addresses it listens at.
    """

    def __init__(self, folder: Path, host: str, service: str) -> None:
        self.name = f'n-{host}'
        self.service = service
        self.clients = f'{host}:18401'
        self.links = f'{host}:18402'
        self.ready = f'{host}:18403'
        self.target = Target(f'{host}:18404')
        self.most_bytes = 0
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._watching: asyncio.Task[None] | None = None

    @property
    def is_alive(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def descriptors(self) -> int:
        """The open descriptors of the process."""
        return int(self._info().num_fds())

    async def start(self, store: str) -> None:
        settings = (
            f'[node]\nname = {self.name}\nservice = {self.service}\n'
            'failure_domain = z\nregion = r\n'
            f'[listen]\nclients = {self.clients}\nnodes = {self.links}\n'
            f'ready = {self.ready}\n'
            f'[target]\naddress = {self.target.address}\n'
            f'[platform]\naddress = {store}\n'
        )
        path = self._folder / f'{self.name}.ini'
        path.write_text(settings, encoding='utf-8')
        log = (self._folder / f'{self.name}.log').open('wb')
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/start.py',
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, 'LOVAGESHUNT_BOOT': str(path)},
        )
        log.close()
        self._watching = asyncio.ensure_future(self._watch_memory())

    async def until_ready(self) -> None:
        async with asyncio.timeout(_GUARD_SECONDS):
            while await self._ready_status() != 200:
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def until_settled(self) -> None:
        """Wait until the process has hardly grown for some time."""
        async with asyncio.timeout(_GUARD_SECONDS):
            before = -_SETTLED_BYTES
            while self.is_alive and self.most_bytes >= before + _SETTLED_BYTES:
                before = self.most_bytes
                await asyncio.sleep(_SETTLE_SECONDS)

    async def connect(
        self, address: str = ''
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = (address or self.clients).split(':')
        return await asyncio.open_connection(
            host, int(port), local_addr=('127.0.8.1', 0)
        )

    async def ask(self, body: bytes = b'', path: str = '/a/x') -> int:
        """Send one request, by default an ordinary one; return its status.

        It is 0 if the connection was closed without an answer.
        """
        reader, writer = await self.connect()
        line = b''
        try:
            async with asyncio.timeout(_GUARD_SECONDS):
                writer.write(request_head(len(body), path))
                writer.write(body)
                line = await reader.readline()
        except ConnectionError:
            return 0
        writer.close()
        return int(line.split()[1]) if line else 0

    async def _ready_status(self) -> int:
        try:
            reader, writer = await self.connect(self.ready)
        except ConnectionError:
            return 0
        writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return int(line.split()[1]) if line else 0

    async def _watch_memory(self) -> None:
        while self.is_alive:
            try:
                held = int(self._info().memory_info().rss)
            except psutil.NoSuchProcess:
                return
            self.most_bytes = max(self.most_bytes, held)
            await asyncio.sleep(_MEMORY_INTERVAL_SECONDS)

    def _info(self) -> psutil.Process:
        if self._process is None:
            raise RuntimeError(f'{self.name} is not started; call start()')
        return psutil.Process(self._process.pid)


def request_head(length: int | None = 0, path: str = '/a/x') -> bytes:
    """Encode the head of a request, with a chunked body if no length."""
    framing = 'Transfer-Encoding: chunked'
    if length is not None:
        framing = f'Content-Length: {length}'
    return (
        f'POST {path} HTTP/1.1\r\n{HOST_FIELD}\r\n'
        'Lovageshunt-Attempt-Id: a\r\n'
        f'Lovageshunt-Deadline-Remaining-Ms: 60000\r\n{framing}\r\n\r\n'
    ).encode()


@asynccontextmanager
async def nodes_of(
    folder: Path,
    *,
    count: int,
    body_bytes: int,
    slots: int = 8,
    connections: int = 20,
) -> AsyncIterator[list[NodeProcess]]:
    """Run ``count`` nodes; the last one is beside the only target.

    ``slots`` and ``connections`` are the limits of that target.
    """
    store = StoreStandIn()
    await store.open()
    nodes = [
        NodeProcess(folder, own_host(at), 's1' if at == count else 'other')
        for at in range(1, count + 1)
    ]
    fields = published(
        action={'service': 's1', 'timeout_s': 60, 'max_attempts': 2}
    )
    fields['clusters'][0]['max_connections'] = connections
    fields['limits'] |= {'max_body_bytes': body_bytes}
    store.put('op/config', orjson.dumps(fields))
    servers = [await node.target.open() for node in nodes]
    for node in nodes:
        entry = ENTRY | {
            'address': node.target.address,
            'service': node.service,
            'slots': slots,
        }
        store.put(f'servers/i-{node.name}', orjson.dumps(entry))
    try:
        for node in nodes:
            await node.start(f'{store.host}:{store.port}')
        for node in nodes:
            await node.until_ready()
        yield nodes
    finally:
        for node, server in zip(nodes, servers, strict=True):
            await node.stop()
            server.close()
        store.close()
