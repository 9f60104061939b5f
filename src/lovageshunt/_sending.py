"""Writes large messages to a transport as the other side takes them."""

from asyncio import Transport
from collections import deque
from typing import Final

from lovageshunt._memory_account import COPIED_BYTES
from lovageshunt._receiving import ReceivingProtocol

#: What may be sent: a body is a view of the buffer that it was received in.
Buffer = bytes | bytearray | memoryview
#: The most that is handed to the transport at a time, in bytes.
_SLICE_BYTES: Final = COPIED_BYTES
#: A message of up to this size is copied even if the transport is full, in
#: bytes.
_SMALL_BYTES: Final = 16 * 1024


class PacedWriter:
    """Writes in order, without a copy of what the transport cannot take yet.

    Its owner forwards ``pause`` and ``resume`` from the transport.
    """

    __slots__ = ('_transport', '_waiting', '_is_paused')

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._waiting: deque[memoryview] = deque()
        self._is_paused = False

    @property
    def is_done(self) -> bool:
        """Whether everything was handed to the transport."""
        return not self._waiting

    def write(self, message: Buffer) -> None:
        """Write a message, now or when those before it are written."""
        most = _SMALL_BYTES if self._is_paused else _SLICE_BYTES
        if len(message) <= most and not self._waiting:
            self._transport.write(message)
            return
        self._waiting.append(memoryview(message))
        self._write_waiting()

    def pause(self) -> None:
        """Hand nothing more to the transport: its buffer is full."""
        self._is_paused = True

    def resume(self) -> None:
        """Go on: the transport has room again."""
        self._is_paused = False
        self._write_waiting()

    def _write_waiting(self) -> None:
        while self._waiting and not self._is_paused:
            message = self._waiting.popleft()
            if len(message) > _SLICE_BYTES:
                self._waiting.appendleft(message[_SLICE_BYTES:])
            self._transport.write(message[:_SLICE_BYTES])


class PacedProtocol(ReceivingProtocol):
    """A protocol that writes large messages with a ``PacedWriter``.

    ``paced_writer`` is ``None`` until the connection is made.
    """

    __slots__ = ('paced_writer',)

    def __init__(self) -> None:
        self.paced_writer: PacedWriter | None = None

    def pause_writing(self) -> None:
        """Wait until the other side has taken more."""
        if self.paced_writer is not None:
            self.paced_writer.pause()

    def resume_writing(self) -> None:
        """Go on with what waits."""
        if self.paced_writer is not None:
            self.paced_writer.resume()
