"""Receiving through a buffer that all connections share."""

import asyncio
import tracemalloc
from struct import pack_into

from lovageshunt._receiving import ReceivingProtocol
from tests.loopback import own_host

_PORT = 18399


class _Recorder(ReceivingProtocol):
    """Records what a connection receives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        self.received.append(data)


class TestReceivingProtocol:
    """What connections with a shared buffer receive."""

    async def test_connections_keep_what_they_received(self) -> None:
        """A later read of another connection does not change it."""
        recorders: list[_Recorder] = []

        def accept() -> _Recorder:
            recorders.append(_Recorder())
            return recorders[-1]

        loop = asyncio.get_running_loop()
        host = own_host(200)
        server = await loop.create_server(accept, host, _PORT)
        async with server:
            for text in (b'first' * 1000, b'second' * 30000):
                _, writer = await asyncio.open_connection(host, _PORT)
                writer.write(text)
                await writer.drain()
                writer.close()
                await writer.wait_closed()
            await asyncio.sleep(0.1)
        assert b''.join(recorders[0].received) == b'first' * 1000
        assert b''.join(recorders[1].received) == b'second' * 30000

    def test_a_read_allocates_only_what_it_returns(self) -> None:
        """The buffer is not allocated anew for each read."""
        recorder = _Recorder()
        tracemalloc.start()
        try:
            for _ in range(8):
                buffer = recorder.get_buffer(-1)
                pack_into('4s', buffer, 0, b'data')
                recorder.buffer_updated(4)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert recorder.received == [b'data'] * 8
        assert peak_bytes < 8 * 1024
