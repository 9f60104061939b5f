"""Schedules the one platform read of a node that has no rules."""

from random import Random

from lovageshunt.rules._in_force import RulesInForce


class FirstRead:
    """Schedules one read after a random delay, at most ``max_delay_seconds``.

    The delay starts when the node learns that a version exists. When the
    first document of a fleet is published, every node lacks every part, and
    the few readers could not send them all within their byte budget. The
    random delay spreads the reads of a fleet.
    """

    __slots__ = ('_rng', '_max_delay_seconds', '_read_at', '_is_done')

    def __init__(self, rng: Random, max_delay_seconds: float) -> None:
        self._rng = rng
        self._max_delay_seconds = max_delay_seconds
        self._read_at: float | None = None
        self._is_done = False

    def is_due(self, rules: RulesInForce, now: float) -> bool:
        """Return whether to read now; true at most once in a node's life."""
        if rules.version is not None:
            self._is_done = True
        if self._is_done or rules.latest is None:
            return False
        if self._read_at is None:
            self._read_at = now + self._rng.uniform(0, self._max_delay_seconds)
        self._is_done = now >= self._read_at
        return self._is_done
