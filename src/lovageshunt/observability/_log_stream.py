"""Writes log lines without waiting for whoever reads them."""

from collections import deque
from collections.abc import Callable
from os import write as write_to
from select import POLLOUT, poll
from typing import Final

#: A pipe that has room takes this many bytes at once without blocking.
_PIPE_BYTES: Final = 4096
#: The most that is kept of lines that could not be written yet, in bytes.
_MAX_WAITING_BYTES: Final = 256 * 1024


class LogStream:
    """A stream for log lines whose ``write`` never blocks.

    A reader that stops reading fills its pipe, and the next write would stop
    the whole process. So lines wait here until the descriptor has room, and
    beyond a bound they are dropped; ``on_dropped`` is called for each of them.
    The descriptor itself is not changed, as other processes may share it.
    """

    __slots__ = ('_descriptor', '_on_dropped', '_waiting', '_waiting_bytes')

    def __init__(self, descriptor: int, on_dropped: Callable[[], None]) -> None:
        self._descriptor = descriptor
        self._on_dropped = on_dropped
        #: Pieces of lines, each small enough to be written at once.
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0

    def write(self, line: str) -> None:
        """Write a line, now or when there is room."""
        encoded = line.encode()
        if self._waiting_bytes + len(encoded) > _MAX_WAITING_BYTES:
            self.flush()
        if self._waiting_bytes + len(encoded) > _MAX_WAITING_BYTES:
            self._on_dropped()
            return
        self._waiting_bytes += len(encoded)
        self._waiting.extend(
            encoded[start : start + _PIPE_BYTES]
            for start in range(0, len(encoded), _PIPE_BYTES)
        )

    def flush(self) -> None:
        """Write what waits, as far as there is room.

        Raises ``OSError`` if the descriptor is closed, or nobody can read it
        any more; what waits is dropped then.
        """
        while self._waiting and self._has_room():
            piece = self._waiting.popleft()
            self._waiting_bytes -= len(piece)
            try:
                written = write_to(self._descriptor, piece)
            except OSError:
                self._waiting.clear()
                self._waiting_bytes = 0
                raise
            if written < len(piece):
                self._waiting.appendleft(piece[written:])
                self._waiting_bytes += len(piece) - written

    def _has_room(self) -> bool:
        """Return whether a piece can be written without blocking."""
        descriptors = poll()
        descriptors.register(self._descriptor, POLLOUT)
        # A descriptor in error is ready, too: the write reports it.
        return bool(descriptors.poll(0))
