"""Writing large messages as the other side takes them."""

from lovageshunt._sending import PacedWriter
from tests.http1.wire import FakeTransport

LARGE = bytes(range(256)) * 4096


class SlowTransport(FakeTransport):
    """Pauses the writer after each large write."""

    def __init__(self) -> None:
        super().__init__()
        self.writer = PacedWriter(self)

    def write(self, data: bytes) -> None:
        super().write(data)
        if len(data) > 1000:
            self.writer.pause()


class TestPacedWriter:
    """Order and slices."""

    def test_writes_in_order_as_there_is_room(self) -> None:
        """What follows a large message waits behind it."""
        transport = SlowTransport()
        writer = transport.writer
        writer.write(b'head')
        writer.write(LARGE)
        writer.write(b'next')
        assert not writer.is_done
        assert len(transport.written) < len(LARGE)
        while not writer.is_done:
            writer.resume()
        assert transport.written == b'head' + LARGE + b'next'

    def test_writes_small_messages_at_once(self) -> None:
        """The transport holds them, as it would without the writer."""
        transport = SlowTransport()
        transport.writer.pause()
        transport.writer.write(b'ping')
        assert transport.written == b'ping'
        assert transport.writer.is_done
