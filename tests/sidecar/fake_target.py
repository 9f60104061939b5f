"""A target on loopback that responds as a test says."""

import asyncio
from collections.abc import Awaitable, Callable

TARGET_PORT = 18304

Serve = Callable[['Received'], Awaitable[bytes]]


class Received:
    """The request line, headers and body that a peer received."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode().split('\r\n')
        self.line = lines[0]
        self.body = body
        self.headers = {
            name.lower(): text
            for name, _, text in (line.partition(': ') for line in lines[1:])
        }

    @property
    def attempt(self) -> str:
        return self.headers['x-attempt']


def answer(
    received: Received,
    body: bytes = b'ok',
    *,
    status: int = 200,
    extra: str = '',
    length: int | None = None,
) -> bytes:
    """Encode a target's response with attempt id and proof."""
    size = len(body) if length is None else length
    head = (
        f'HTTP/1.1 {status} S\r\nX-Attempt: {received.attempt}\r\n'
        f'X-Proof: p\r\nContent-Length: {size}\r\n{extra}\r\n'
    )
    return head.encode() + body


class FakeTarget:
    """A target that responds by ``serve`` and records its requests.

    ``ended_early`` counts connections that were closed before the response,
    ``crashes`` how often the target crashed; one that ``has_ended`` does not
    come back.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.received: list[Received] = []
        self.ended_early = 0
        self.crashes = 0
        self.has_ended = False
        self.serve: Serve = self.serve_normally
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def serve_normally(self, received: Received) -> bytes:
        return answer(received, self.host.encode())

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._on_connection,
            self.host,
            TARGET_PORT,
            start_serving=False,
        )
        await self._server.start_serving()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """Close for good, also while a crash is about to return."""
        self.has_ended = True
        self.close()

    @property
    def is_up(self) -> bool:
        return self._server is not None and self._server.is_serving()

    async def crash(self, down_seconds: float) -> None:
        """End all connections, refuse new ones, and return after a while."""
        self.crashes += 1
        self.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(down_seconds)
        if not self.has_ended:
            await self.open()

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                received = Received(head[:-4], b'')
                size = int(received.headers.get('content-length', '0'))
                received.body = await reader.readexactly(size)
                self.received.append(received)
                await self._answer(received, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(
        self,
        received: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        serving = asyncio.ensure_future(self.serve(received))
        disconnect = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait(
            (serving, disconnect),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if serving not in done:
            self.ended_early += 1
            serving.cancel()
            raise ConnectionError
        disconnect.cancel()
        await asyncio.wait((disconnect,))
        encoded = serving.result()
        writer.write(encoded)
        await writer.drain()
