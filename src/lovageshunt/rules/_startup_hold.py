"""A node that just started hears its peers before it trusts the platform."""

from lovageshunt.rules._events import DocumentRead


class Settling:
    """Holds back what the platform said until some peers have answered.

    The platform's copy may be stale, and a node that lost its memory with
    its VM cannot tell. It is taken once ``answers`` peers have said what
    they heard, or after ``seconds`` without them.
    """

    __slots__ = (
        'is_over',
        '_answers',
        '_seconds',
        '_started_at',
        '_answered_by',
        '_held',
    )

    def __init__(self, *, answers: int, seconds: float) -> None:
        """Take how many answers are waited for, and how long at most."""
        self.is_over = False
        self._answers = answers
        self._seconds = seconds
        self._started_at: float | None = None
        self._answered_by: set[str] = set()
        self._held: DocumentRead | None = None

    def hold(self, read: DocumentRead) -> None:
        """Keep what the platform said, the greatest version only."""
        if self._held is None or read.version > self._held.version:
            self._held = read

    def count_answer(self, peer: str) -> None:
        """Note that a peer said what it heard."""
        if not self.is_over:
            self._answered_by.add(peer)

    def end(self, now: float) -> DocumentRead | None:
        """End it when it is time; return what was held, if anything."""
        if self._started_at is None:
            self._started_at = now
        is_late = now - self._started_at >= self._seconds
        if not is_late and len(self._answered_by) < self._answers:
            return None
        self.is_over = True
        return self._held
