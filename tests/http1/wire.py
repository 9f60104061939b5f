"""A transport that keeps what is written, for protocols without sockets."""

from asyncio import Transport
from typing import Any


class FakeTransport(Transport):
    """Records bytes and the end of a connection."""

    def __init__(self, peer: tuple[str, int] = ('10.0.0.9', 1234)) -> None:
        """Begin open, with a peer."""
        super().__init__()
        self.written = b''
        self.is_closed = False
        self.is_aborted = False
        self.is_paused = False
        self._peer = peer

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Tell the peer's address."""
        return self._peer if name == 'peername' else default

    def write(self, data: bytes) -> None:  # type: ignore[override]
        """Keep the bytes."""
        self.written += data

    def close(self) -> None:
        """Note the end."""
        self.is_closed = True

    def abort(self) -> None:
        """Note the end without a flush."""
        self.is_closed = True
        self.is_aborted = True

    def pause_reading(self) -> None:
        """Note that reading stopped."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Note that reading goes on."""
        self.is_paused = False
