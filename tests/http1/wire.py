"""A fake transport, for testing protocols without sockets."""

from asyncio import Transport
from typing import Any


class FakeTransport(Transport):
    """Records the written bytes and whether it was closed or paused."""

    def __init__(self, peer: tuple[str, int] = ('10.0.0.9', 1234)) -> None:
        super().__init__()
        self.written = b''
        self.is_closed = False
        self.is_aborted = False
        self.is_paused = False
        self.unsent_bytes = 0
        self._peer = peer

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the peer's address for ``peername``."""
        return self._peer if name == 'peername' else default

    def write(self, data: bytes) -> None:  # type: ignore[override]
        """Record the bytes."""
        self.written += data

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Ignore the limits: the test calls the protocol itself."""

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the test sets."""
        return self.unsent_bytes

    def close(self) -> None:
        """Record the close."""
        self.is_closed = True

    def abort(self) -> None:
        """Record a close without flushing."""
        self.is_closed = True
        self.is_aborted = True

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Record that reading is resumed."""
        self.is_paused = False
