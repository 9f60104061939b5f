"""Limits on what a client may send, and how long it may take."""

from lovageshunt._record import Record


class ServerLimits(Record):
    """Bounds of one client connection.

    ``head_bytes`` bounds the request line with the headers, ``body_bytes``
    the body, ``head_seconds`` the time for the head, ``idle_seconds`` the
    time without a request.
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
        """Take every bound by name."""
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_seconds = head_seconds
        self.idle_seconds = idle_seconds
