"""When a node without any rules reads them from the platform itself."""

from random import Random

from lovageshunt.rules._in_force import RulesInForce


class FirstRead:
    """Asks for one reading, at a moment drawn for this node.

    When the first document of a fleet appears, every node lacks every part,
    and the few readers could not send so much within their budget.
    """

    __slots__ = ('_rng', '_seconds', '_read_at', '_is_over')

    def __init__(self, rng: Random, seconds: float) -> None:
        """Take the time over which the nodes of a fleet are spread."""
        self._rng = rng
        self._seconds = seconds
        self._read_at: float | None = None
        self._is_over = False

    def is_due(self, rules: RulesInForce, now: float) -> bool:
        """Say whether to read now; true once in a life, at most."""
        if rules.version is not None:
            self._is_over = True
        if self._is_over or rules.heard is None:
            return False
        if self._read_at is None:
            self._read_at = now + self._rng.uniform(0, self._seconds)
        self._is_over = now >= self._read_at
        return self._is_over
