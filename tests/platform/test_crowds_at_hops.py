"""Crowds whose requests are legal and whole, or whose targets are in trouble.

What they make nodes hold are objects and messages that wait: heads of many
fields, requests sent ahead, orders at the node of their target, answers that
are not read. Each test checks that every process lives within the memory of
the smallest machine, and that an ordinary request is answered afterwards.
"""

import asyncio
import socket
from collections.abc import Awaitable, Iterable
from pathlib import Path

from lovageshunt.links import (
    FrameKind,
    Greeting,
    RunOrder,
    encode_frame,
    encode_message,
    encode_order,
)
from tests.platform.node_process import (
    ENDLESS_TRAILERS,
    HELD,
    HOST_FIELD,
    LARGE_ANSWER,
    MACHINE_BYTES,
    UNREAD,
    NodeProcess,
    nodes_of,
    request_head,
)

MIB = 2**20
BODY_BYTES = 64 * MIB
#: Clients that stay, each with one connection.
CROWD = 400
#: What a client sends of a head whose fields are short: the limit is 16 KiB.
HEAD_BYTES = 16_000
#: What a client sends ahead of the answers that it waits for.
AHEAD_BYTES = 64 * 1024
WHOLE_BODY_BYTES = 60 * 1000 * 1000
SMALL_BODY_BYTES = 200_000
_GUARD_SECONDS = 150
#: A client that does not read has small buffers in the system.
_UNREAD_BUFFER_BYTES = 4096


async def check(
    nodes: list[NodeProcess], asking: Iterable[Awaitable[object]] = ()
) -> None:
    """Check that nodes live within their memory and answer."""
    async with asyncio.timeout(_GUARD_SECONDS):
        pending = [asyncio.ensure_future(each) for each in asking]
        for node in nodes:
            await node.until_settled()
        # Of the target that stalls, no answer is expected so far.
        assert all(node.is_alive for node in nodes)
        nodes[-1].target.released.set()
        for node in nodes:
            await until_served(node)
        await asyncio.gather(*pending, return_exceptions=True)
    assert all(node.is_alive for node in nodes)
    assert max(node.most_bytes for node in nodes) < MACHINE_BYTES


async def until_served(node: NodeProcess) -> None:
    """Ask until an ordinary request is answered; one may be refused at first.

    What the crowd asked for may still occupy the target.
    """
    while await node.ask() != 200:
        assert node.is_alive
        await asyncio.sleep(0.2)


async def opened(
    node: NodeProcess, sent: bytes, address: str = ''
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send something on a new connection that stays open."""
    reader, writer = await node.connect(address)
    writer.write(sent)
    return reader, writer


async def opened_unread(address: str, sent: bytes) -> socket.socket:
    """Send something on a new connection whose answers are not read."""
    host, port = address.split(':')
    unread = socket.socket()
    unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BUFFER_BYTES)
    unread.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(unread, (host, int(port)))
    await loop.sock_sendall(unread, sent)
    return unread


class TestAtClients:
    """A crowd at the address of the clients."""

    async def test_heads_of_many_short_fields(self, tmp_path: Path) -> None:
        """Legal heads, and bodies of which little arrives."""
        head = request_head(1000)[:-2]
        fields = b'a:\r\n' * ((HEAD_BYTES - len(head)) // 4)
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            crowd = [
                await opened(nodes[0], head + fields + b'\r\nx')
                for _ in range(CROWD)
            ]
            await check(nodes)
            for _, writer in crowd:
                writer.close()

    async def test_requests_sent_ahead(self, tmp_path: Path) -> None:
        """Small requests behind one whose answer takes long."""
        first = request_head(0, HELD)
        unit = f'GET /none HTTP/1.1\r\n{HOST_FIELD}\r\n\r\n'.encode()
        ahead = first + unit * (AHEAD_BYTES // len(unit))
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            crowd = [await opened(nodes[0], ahead) for _ in range(CROWD)]
            await nodes[0].until_settled()
            # What it has sent ahead is legal and would keep the target busy.
            for _, writer in crowd:
                writer.close()
            await check(nodes)

    async def test_whole_requests_that_wait(self, tmp_path: Path) -> None:
        """Each fits into one read, so that none is ever a part."""
        body = bytes(60_000)
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            node = nodes[0]
            await check(nodes, [node.ask(body, HELD) for _ in range(4 * CROWD)])

    async def test_answers_that_are_not_read(self, tmp_path: Path) -> None:
        """Each client asks for a large answer and leaves it unread."""
        sent = request_head(0, LARGE_ANSWER)
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            crowd = [
                await opened_unread(nodes[0].clients, sent)
                for _ in range(CROWD // 2)
            ]
            await check(nodes)
            for each in crowd:
                each.close()


class TestAtTheNodeOfTheTarget:
    """Orders of several nodes meet at one."""

    async def test_whole_bodies(self, tmp_path: Path) -> None:
        """One body of legal size at each of six nodes; nobody reads them."""
        body = bytes(WHOLE_BODY_BYTES)
        async with nodes_of(tmp_path, count=7, body_bytes=BODY_BYTES) as nodes:
            await check(nodes, [node.ask(body, UNREAD) for node in nodes[:-1]])

    async def test_orders_that_wait(self, tmp_path: Path) -> None:
        """More than the target runs at once wait in the queue."""
        body = bytes(SMALL_BODY_BYTES)
        async with nodes_of(tmp_path, count=5, body_bytes=BODY_BYTES) as nodes:
            asking = [
                node.ask(body, HELD) for node in nodes[:-1] for _ in range(250)
            ]
            await check(nodes, asking)

    async def test_answers_that_a_link_does_not_read(
        self, tmp_path: Path
    ) -> None:
        """One that speaks as a node asks for answers and reads none."""
        hello = Greeting(node='n-x', service='x', incarnation='x')
        frames = [encode_frame(FrameKind.GREETING, 0, encode_message(hello))]
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            order = large_answer_order(f'i-{nodes[0].name}')
            frames += [
                encode_frame(FrameKind.ORDER, stream, encode_order(order, 0))
                for stream in range(1, 101)
            ]
            link = await opened_unread(nodes[0].links, b''.join(frames))
            await check(nodes)
            link.close()


class TestTargetInTrouble:
    """Bytes that are no answer may come without end."""

    async def test_trailing_fields_without_end(self, tmp_path: Path) -> None:
        """Many calls at once get a body whose trailing fields do not end."""
        async with nodes_of(
            tmp_path, count=1, body_bytes=BODY_BYTES, slots=100, connections=100
        ) as nodes:
            node = nodes[0]
            asking = [node.ask(path=ENDLESS_TRAILERS) for _ in range(80)]
            await check(nodes, asking)


def large_answer_order(target_id: str) -> RunOrder:
    """Return an order for a large answer, with a minute left."""
    return RunOrder(
        attempt_id=b'a',
        target_id=target_id,
        kind='r-1',
        caller_service='x',
        importance=0,
        is_repeatable=True,
        is_repeat=False,
        deadline=60,
        method=b'GET',
        request_target=LARGE_ANSWER.encode(),
        fields=f'{HOST_FIELD}\r\nlovageshunt-attempt-id: a\r\n'.encode(),
        body=b'',
    )
