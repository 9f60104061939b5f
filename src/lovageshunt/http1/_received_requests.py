"""What a client has sent of requests that were not started."""

from collections import deque
from typing import Final

from lovageshunt.http1._limits import ServerLimits
from lovageshunt.http1._messages import Request
from lovageshunt.http1._request_reader import RequestFault, RequestReader

#: Reading is paused once this many requests wait for the one in progress.
_MAX_WAITING: Final = 8
#: Reading is paused once this much memory is taken beyond the request in
#: progress, in bytes.
_MAX_AHEAD_BYTES: Final = 64 * 1024
#: How many times its limit a head may take to arrive as a whole: a limit that
#: holds for clients on a slow machine, too.
_HEAD_TIME_FACTOR: Final = 2


class ReceivedRequests:
    """The requests of one connection that wait, and the one that arrives.

    Times are in seconds on the monotonic clock.
    """

    __slots__ = (
        '_limits',
        '_reader',
        '_waiting',
        '_waiting_bytes',
        '_began_at',
        '_received_at',
    )

    def __init__(self, limits: ServerLimits, now: float) -> None:
        self._limits = limits
        self._reader = RequestReader(limits)
        #: Whole requests, each with the memory that it takes.
        self._waiting: deque[tuple[Request, int]] = deque()
        self._waiting_bytes = 0
        #: When the head of the request that arrives began.
        self._began_at: float | None = None
        self._received_at = now

    @property
    def fault(self) -> RequestFault | None:
        """Why nothing more is read, if so."""
        return self._reader.fault

    @property
    def taken_bytes(self) -> int:
        """The memory that all of them take."""
        return self._waiting_bytes + self._reader.taken_bytes

    @property
    def is_reading(self) -> bool:
        """Whether a request has begun and is not whole."""
        return self._reader.is_reading

    @property
    def has_whole(self) -> bool:
        """Whether a whole request waits."""
        return bool(self._waiting)

    @property
    def are_many(self) -> bool:
        """Whether so many wait that no more should be read."""
        return len(self._waiting) >= _MAX_WAITING

    @property
    def are_large(self) -> bool:
        """Whether no more should be read beside a request in progress."""
        return self.taken_bytes > _MAX_AHEAD_BYTES

    def feed(self, received: bytes, now: float) -> None:
        """Add what was received."""
        self._received_at = now
        for request, taken_bytes in self._reader.feed(received):
            self._began_at = None
            self._waiting.append((request, taken_bytes))
            self._waiting_bytes += taken_bytes
        if self._reader.is_reading and self._began_at is None:
            self._began_at = now

    def take(self) -> tuple[Request, int]:
        """Remove the next whole request; return it and the memory it takes."""
        request, taken_bytes = self._waiting.popleft()
        self._waiting_bytes -= taken_bytes
        return request, taken_bytes

    def take_expectation(self) -> bool:
        """Return once whether the client waits for ``100 Continue``."""
        expects_continue = self._reader.expects_continue
        self._reader.expects_continue = False
        return expects_continue

    def drop(self) -> None:
        """Release everything, and read nothing more."""
        self._waiting.clear()
        self._waiting_bytes = 0
        self._reader.discard()

    def is_late(self, now: float) -> bool:
        """Return whether a request makes no progress, or its head is late."""
        seconds = self._limits.head_seconds
        if self._reader.is_reading and now - self._received_at > seconds:
            return True
        if self._began_at is None or not self._reader.is_in_head:
            return False
        return now - self._began_at > seconds * _HEAD_TIME_FACTOR
