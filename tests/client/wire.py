"""A loopback server that answers with the raw bytes a test specifies."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

from lovageshunt.client import Transport

_END = b'\r\n\r\n'
_BACKLOG = 1000


class ReceivedRequest:
    """A request that the server received.

    ``connection`` is the number of its connection, counted from 1; ``head``
    is its request line and headers.
    """

    def __init__(self, connection, head, writer):
        self.connection = connection
        self.head = head
        self.target = head.split(' ')[1]
        self._writer = writer

    async def write(self, octets):
        """Send bytes and wait until the buffer has drained."""
        self._writer.write(octets)
        await self._writer.drain()

    async def answer(self, body):
        """Send a complete answer with status 200."""
        await self.write(complete_answer(body))

    async def close(self):
        """Close the connection."""
        self._writer.close()


class WireServer:
    """Runs ``serve`` for each request, in sequence on each connection."""

    def __init__(self, serve: Callable[[ReceivedRequest], Awaitable[None]]):
        self._serve = serve
        self._connections = 0
        self.address = ''
        self.requests: list[ReceivedRequest] = []

    @property
    def connections(self):
        """The connection number of each request, in order of arrival."""
        return [request.connection for request in self.requests]

    async def connected(self, reader, writer):
        """Read requests until the peer closes the connection."""
        self._connections += 1
        number = self._connections
        try:
            while True:
                head = (await reader.readuntil(_END)).decode()
                request = ReceivedRequest(number, head, writer)
                self.requests.append(request)
                await self._serve(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@asynccontextmanager
async def exchange_with(serve, *, max_body_bytes=1000):
    """Yield the server and a function that sends it one request."""
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


def complete_answer(body):
    """Return an answer with its headers, as bytes."""
    head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'
    return head.encode() + body
