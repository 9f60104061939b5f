"""Limits on the size and the duration of client requests."""

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
