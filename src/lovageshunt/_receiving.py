"""Receives from sockets without a new buffer for each read."""

from asyncio import BufferedProtocol
from typing import Final

#: The most that one read returns, in bytes.
_BUFFER_BYTES: Final = 64 * 1024
_BUFFER: Final = bytearray(_BUFFER_BYTES)
_VIEW: Final = memoryview(_BUFFER)


class ReceivingProtocol(BufferedProtocol):
    """A protocol like ``asyncio.Protocol`` that costs less for each read.

    The event loop has a protocol without a buffer allocate 256 KiB for each
    read, which takes longer than the read. All connections of a process share
    one buffer here: the loop fills it and hands it over in one step, and
    ``data_received`` gets a copy of what was received.
    """

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to receive into."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Hand over what was received."""
        self.data_received(bytes(_VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
