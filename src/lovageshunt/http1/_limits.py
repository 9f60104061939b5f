"""Limits on the size and the duration of messages that are received."""

from lovageshunt._memory_account import MemoryAccount
from lovageshunt._record import Record


class ServerLimits(Record):
    """Limits of one client connection.

    ``head_bytes`` limits the request target together with the headers,
    ``body_bytes`` the body, ``head_seconds`` the time without new data while
    a request is being received, and ``idle_seconds`` the time without a
    request.
    """

    __slots__ = ('head_bytes', 'body_bytes', 'head_seconds', 'idle_seconds')

    def __init__(
        self,
        *,
        head_bytes: int = 65536,
        body_bytes: int = 67108864,
        head_seconds: float = 10,
        idle_seconds: float = 60,
    ) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_seconds = head_seconds
        self.idle_seconds = idle_seconds


class ResponseLimits(Record):
    """Limits on what the servers of one pool may send.

    ``head_bytes`` limits everything before the body, and the fields after it;
    ``body_bytes`` one response as a whole, with responses that are ignored
    before it. ``total_bytes`` limits what all connections of the pool hold
    together, in memory as it is taken. A response that exceeds a limit is cut
    off.
    """

    __slots__ = ('head_bytes', 'body_bytes', 'total_bytes')

    def __init__(
        self,
        *,
        head_bytes: int = 65536,
        body_bytes: int = 4194304,
        total_bytes: int = 16777216,
    ) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.total_bytes = total_bytes


class ResponseBuffers:
    """Counts what the connections of a pool hold of responses, in bytes.

    ``account`` is that of the process.
    """

    __slots__ = ('limits', '_holding')

    def __init__(
        self, limits: ResponseLimits, account: MemoryAccount | None = None
    ) -> None:
        self.limits = limits
        self._holding = (account or MemoryAccount()).open()

    def hold(self, count: int) -> bool:
        """Count memory that is taken; return whether there is room."""
        held = self._holding.taken_bytes + count
        self._holding.update(held)
        return held <= self.limits.total_bytes

    def release(self, count: int) -> None:
        """Count memory that is no longer taken."""
        self._holding.update(self._holding.taken_bytes - count)
