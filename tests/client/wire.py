"""A server of raw bytes on loopback, which answers as a test says."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

from lovageshunt.client import Transport

_END = b'\r\n\r\n'
_BACKLOG = 1000


class Arrival:
    """A request that came: on which connection, for what, and its writer."""

    def __init__(self, connection, head, writer):
        """Take the head of the request."""
        self.connection = connection
        self.head = head
        self.target = head.split(' ')[1]
        self._writer = writer

    async def write(self, octets):
        """Send bytes and wait until they left."""
        self._writer.write(octets)
        await self._writer.drain()

    async def answer(self, body):
        """Send a whole answer."""
        await self.write(whole(body))

    async def close(self):
        """Close the connection."""
        self._writer.close()


class WireServer:
    """Serves connections one request after the other."""

    def __init__(self, serve: Callable[[Arrival], Awaitable[None]]):
        """Take what is done about each request."""
        self._serve = serve
        self._connections = 0
        self.address = ''
        self.arrivals: list[Arrival] = []

    @property
    def connections(self):
        """Return the number of the connection of each request, in order."""
        return [arrival.connection for arrival in self.arrivals]

    async def connected(self, reader, writer):
        """Read requests until the other side closes."""
        self._connections += 1
        number = self._connections
        try:
            while True:
                head = (await reader.readuntil(_END)).decode()
                arrival = Arrival(number, head, writer)
                self.arrivals.append(arrival)
                await self._serve(arrival)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@asynccontextmanager
async def exchange_with(serve, *, max_body_bytes=1000):
    """Yield the server and a function that sends to it one request."""
    server = WireServer(serve)
    listener = await asyncio.start_server(
        server.connected,
        '127.0.0.1',
        0,
        backlog=_BACKLOG,
    )
    port = listener.sockets[0].getsockname()[1]
    server.address = f'127.0.0.1:{port}'
    transport = Transport(max_body_bytes=max_body_bytes)
    await transport.start()

    async def send(target='/', timeout_seconds=5, headers=None):
        return await transport.send(
            address=server.address,
            method='GET',
            target=target,
            headers=headers or {},
            body=b'',
            timeout_seconds=timeout_seconds,
        )

    try:
        yield server, send
    finally:
        await transport.close()
        listener.close()


def whole(body):
    """Return a whole answer as bytes."""
    head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'
    return head.encode() + body
