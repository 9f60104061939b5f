"""A pool of persistent connections to one server."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from lovageshunt.http1 import (
    ConnectionPool,
    Exchange,
    ExchangeEnd,
    Response,
    encode_request_head,
)
from tests.loopback import own_host

HOST = own_host(108)
PORT = 18321
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def response(status: int, attempt_id: bytes) -> bytes:
    return b'HTTP/1.1 %d X\r\nX-Attempt: %b\r\nContent-Length: 0\r\n\r\n' % (
        status,
        attempt_id,
    )


class RepeatingServer:
    """Refuses a request; repeats the refusal where the next one is expected."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        is_first = self.connections == 1
        while await reader.read(65536):
            writer.write(response(503 if is_first else 200, b'a1'))


class Server:
    """Responds to every request once ``may_respond`` is set."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()
        self.connections = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        while await reader.read(65536):
            await self.may_respond.wait()
            writer.write(RESPONSE)


@asynccontextmanager
async def pool_of(
    serve: Serve, max_connections: int = 5
) -> AsyncIterator[ConnectionPool]:
    server = await asyncio.start_server(serve, HOST, PORT)
    pool = ConnectionPool(HOST, PORT, max_connections)
    try:
        yield pool
    finally:
        pool.close()
        server.close()


@asynccontextmanager
async def pooled(
    max_connections: int = 5,
) -> AsyncIterator[tuple[Server, ConnectionPool]]:
    handler = Server()
    async with pool_of(handler.serve, max_connections) as pool:
        yield handler, pool


def exchange(
    ends: list[ExchangeEnd],
    identity: tuple[bytes, bytes] | None = None,
    statuses: list[int] | None = None,
) -> Exchange:
    def ended(end: ExchangeEnd, response: Response | None) -> None:
        ends.append(end)
        if statuses is not None and response is not None:
            statuses.append(response.status)

    encoded = encode_request_head(method=b'GET', target=b'/', fields=b'')
    return Exchange(encoded=encoded, ended=ended, identity=identity)


async def until_ended(ends: list[ExchangeEnd], count: int = 1) -> None:
    async with asyncio.timeout(3):
        while len(ends) < count:
            await asyncio.sleep(0.005)


class TestConnectionPool:
    """Exchanges end exactly once, and connections are reused."""

    async def test_reuses_a_connection(self) -> None:
        """The second exchange uses the connection of the first."""
        async with pooled() as (server, pool):
            server.may_respond.set()
            ends: list[ExchangeEnd] = []
            for count in (1, 2):
                pool.send(exchange(ends))
                await until_ended(ends, count)
            assert ends == [ExchangeEnd.COMPLETE] * 2
            assert server.connections == 1

    async def test_ends_once_when_cancelled(self) -> None:
        """A cancelled exchange reports its end once."""
        async with pooled() as (_, pool):
            ends: list[ExchangeEnd] = []
            sending = pool.send(exchange(ends))
            await asyncio.sleep(0.05)
            sending.cancel()
            sending.cancel()
            assert ends == [ExchangeEnd.CANCELLED]

    async def test_cancels_no_later_exchange(self) -> None:
        """Cancelling an ended exchange does not affect the next one."""
        async with pooled() as (server, pool):
            server.may_respond.set()
            ends: list[ExchangeEnd] = []
            first = pool.send(exchange(ends))
            await until_ended(ends)
            pool.send(exchange(ends))
            first.cancel()
            await until_ended(ends, 2)
            assert ends == [ExchangeEnd.COMPLETE] * 2

    async def test_is_unsent_at_the_connection_limit(self) -> None:
        """No request is sent when the pool has no connection left."""
        async with pooled(max_connections=1) as (_, pool):
            ends: list[ExchangeEnd] = []
            pool.send(exchange([]))
            pool.send(exchange(ends))
            assert ends == [ExchangeEnd.UNSENT]

    async def test_is_refused_without_a_server(self) -> None:
        """The exchange ends as refused if the server does not listen."""
        pool = ConnectionPool(HOST, PORT + 1, 1)
        ends: list[ExchangeEnd] = []
        pool.send(exchange(ends))
        await until_ended(ends)
        assert ends == [ExchangeEnd.REFUSED]
        assert pool.open_count == 0


class TestRequestSentAgain:
    """A refused request that is sent to the same server again."""

    async def test_gets_no_second_copy_of_its_refusal(self) -> None:
        """It goes on a connection that has not carried it.

        Guards against REFUSED and TWICE: the server sent its refusal once
        more, late, and it was taken for the response to the next try.
        """
        handler = RepeatingServer()
        ends: list[ExchangeEnd] = []
        statuses: list[int] = []
        async with pool_of(handler.serve) as pool:
            for count in (1, 2):
                pool.send(exchange(ends, (b'x-attempt', b'a1'), statuses))
                await until_ended(ends, count)
        assert statuses == [503, 200]
        assert handler.connections == 2

    async def test_leaves_the_connection_to_others(self) -> None:
        """Other requests go on using the connection of a refusal."""
        handler = RepeatingServer()
        ends: list[ExchangeEnd] = []
        async with pool_of(handler.serve) as pool:
            pool.send(exchange(ends, (b'x-attempt', b'a1')))
            await until_ended(ends)
            pool.send(exchange(ends, (b'x-attempt', b'a2')))
            await asyncio.sleep(0.05)
        assert handler.connections == 1
        assert ends == [ExchangeEnd.COMPLETE]
