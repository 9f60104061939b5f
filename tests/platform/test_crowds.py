"""Clients that nobody controls: what they send must not end a node.

Each test sends what a small crowd of such clients sends to one process, and
checks that the process lives within the memory of the smallest machine, that
its descriptors are bounded, and that an ordinary request is answered
afterwards.
"""

import asyncio
from collections.abc import Iterable
from pathlib import Path

import pytest

from tests.platform.node_process import (
    HOST_FIELD,
    MACHINE_BYTES,
    NodeProcess,
    nodes_of,
    request_head,
)

CROWD = 40
MIB = 2**20
#: The limit of a body in these tests.
BODY_BYTES = 8 * MIB
#: What one client sends of a head or an empty prologue that never ends.
ENDLESS_BYTES = 16 * MIB
PIECE_BYTES = 64 * 1024
#: Descriptors of a node besides those of the crowd.
OTHER_DESCRIPTORS = 64
_GUARD_SECONDS = 120

LINE = f'POST /a/x HTTP/1.1\r\n{HOST_FIELD}\r\n'.encode()


def repeated(start: bytes, unit: bytes, total: int) -> Iterable[bytes]:
    """Yield a start, then pieces of repeated units up to a total size."""
    yield start
    piece = unit * (PIECE_BYTES // len(unit))
    for _ in range(total // len(piece)):
        yield piece


def body_short_of_its_end() -> Iterable[bytes]:
    yield request_head(BODY_BYTES)
    yield bytes(BODY_BYTES - 1)


def body_in_pieces() -> Iterable[bytes]:
    yield request_head(BODY_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield bytes(PIECE_BYTES)
    yield bytes(PIECE_BYTES - 1)


def large_chunks() -> Iterable[bytes]:
    chunk = b'%x\r\n%b\r\n' % (PIECE_BYTES, bytes(PIECE_BYTES))
    yield request_head(None)
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield chunk


def small_chunks() -> Iterable[bytes]:
    """A quarter of a MiB in chunks of two bytes: objects, not bytes."""
    return repeated(request_head(None), b'2\r\nab\r\n', 2 * MIB)


def frames_that_do_not_end() -> Iterable[bytes]:
    """What is no node announces large frames to the listener of links."""
    announced = (64 * MIB).to_bytes(4, 'big') + b'\2' + bytes(4)
    return repeated(announced, bytes(1024), BODY_BYTES)


CROWDS = {
    'a header value without end': lambda: repeated(
        LINE + b'X: ', b'a', ENDLESS_BYTES
    ),
    'a header name without end': lambda: repeated(LINE, b'a', ENDLESS_BYTES),
    'header lines without end': lambda: repeated(
        LINE, b'X: y\r\n', ENDLESS_BYTES
    ),
    'a request target without end': lambda: repeated(
        b'GET /', b'a', ENDLESS_BYTES
    ),
    'bodies that stop short of their end': body_short_of_its_end,
    'bodies in pieces that stop short of their end': body_in_pieces,
    'large chunks that do not end': large_chunks,
    'small chunks that do not end': small_chunks,
    'a chunk extension without end': lambda: repeated(
        request_head(None) + b'1;', b'a', ENDLESS_BYTES
    ),
    'trailers without end': lambda: repeated(
        request_head(None) + b'0\r\n', b'X: y\r\n', ENDLESS_BYTES
    ),
}


async def send_all(
    node: NodeProcess, pieces: Iterable[bytes], address: str = ''
) -> asyncio.StreamWriter:
    """Send pieces until the node closes the connection; leave it open."""
    _, writer = await node.connect(address)
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
    except ConnectionError:
        writer.close()
    return writer


async def play(
    node: NodeProcess, crowd: Iterable[Iterable[bytes]], address: str = ''
) -> None:
    """Let a crowd send at once; check the node, then ask it as usual."""
    async with asyncio.timeout(_GUARD_SECONDS):
        sending = [send_all(node, pieces, address) for pieces in crowd]
        writers = await asyncio.gather(*sending)
        assert node.is_alive
        assert node.descriptors < len(sending) + OTHER_DESCRIPTORS
        assert await node.ask() == 200
        for writer in writers:
            writer.close()
        assert await node.ask() == 200
    assert node.is_alive
    assert node.most_bytes < MACHINE_BYTES


class TestCrowds:
    """A crowd at the address of the clients."""

    @pytest.mark.parametrize('name', CROWDS)
    async def test_node_outlives(self, name: str, tmp_path: Path) -> None:
        """The node holds, and serves an ordinary request beside the crowd."""
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            await play(nodes[0], [CROWDS[name]() for _ in range(CROWD)])

    async def test_closes_an_endless_prologue(self, tmp_path: Path) -> None:
        """Empty lines before a request are not read for ever."""
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            node = nodes[0]
            async with asyncio.timeout(_GUARD_SECONDS):
                for _ in range(3):
                    pieces = repeated(b'', b'\r\n', ENDLESS_BYTES)
                    writer = await send_all(node, pieces)
                    assert writer.is_closing()
            assert await node.ask() == 200
            assert node.most_bytes < MACHINE_BYTES

    async def test_operators_listener_outlives(self, tmp_path: Path) -> None:
        """The listener of the readiness probes is bounded too."""
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            crowd = [body_short_of_its_end() for _ in range(CROWD)]
            await play(nodes[0], crowd, nodes[0].ready)

    async def test_links_listener_outlives(self, tmp_path: Path) -> None:
        """The listener of the links between nodes is bounded too."""
        async with nodes_of(tmp_path, count=1, body_bytes=BODY_BYTES) as nodes:
            crowd = [frames_that_do_not_end() for _ in range(CROWD)]
            await play(nodes[0], crowd, nodes[0].links)


class TestSingleRequest:
    """What the limits allow is served in calm, within the machine."""

    @pytest.mark.parametrize('count', [1, 2], ids=['one hop', 'two hops'])
    async def test_serves_the_largest_body(
        self, count: int, tmp_path: Path
    ) -> None:
        """A body of 64 MiB passes each node within its memory."""
        size = 64 * MIB
        async with nodes_of(tmp_path, count=count, body_bytes=size) as nodes:
            assert await nodes[0].ask(bytes(size)) == 200
            assert nodes[-1].target.body_bytes == [size]
            assert max(node.most_bytes for node in nodes) < MACHINE_BYTES
