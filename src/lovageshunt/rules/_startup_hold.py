"""Delays the use of the platform's document after a node's start."""

from lovageshunt.rules._events import DocumentRead


class StartupHold:
    """Holds the document read from the platform until peers have responded.

    The platform's copy may be stale, which a node that lost its state with
    its VM cannot detect. The document is released after ``min_responses``
    peers have sent the version that they know, or after ``timeout_seconds``.
    ``is_over`` is true from then on.
    """

    __slots__ = (
        'is_over',
        '_min_responses',
        '_timeout_seconds',
        '_started_at',
        '_responders',
        '_held',
    )

    def __init__(self, *, min_responses: int, timeout_seconds: float) -> None:
        self.is_over = False
        self._min_responses = min_responses
        self._timeout_seconds = timeout_seconds
        self._started_at: float | None = None
        self._responders: set[str] = set()
        self._held: DocumentRead | None = None

    def hold(self, read: DocumentRead) -> None:
        """Keep a read document if its version is the greatest so far."""
        if self._held is None or read.version > self._held.version:
            self._held = read

    def record_response(self, peer: str) -> None:
        """Count a peer that has sent the version that it knows."""
        if not self.is_over:
            self._responders.add(peer)

    def release(self, now: float) -> DocumentRead | None:
        """End the hold if it is due; return the held document, if any."""
        if self._started_at is None:
            self._started_at = now
        is_timed_out = now - self._started_at >= self._timeout_seconds
        if not is_timed_out and len(self._responders) < self._min_responses:
            return None
        self.is_over = True
        return self._held
