"""When a refused call should come back."""

from typing import Final

from lovageshunt.calls import RANK_COUNT

_MS_PER_SECOND: Final = 1000
#: The least share of the advised wait; the rank adds up to 1.
_LEAST_SPREAD: Final = 0.5


def advised_wait_ms(seconds: float, level: int) -> int:
    """Return a wait of about some seconds, spread by the rank, above 0."""
    spread = _LEAST_SPREAD + level % RANK_COUNT / RANK_COUNT
    return max(1, int(seconds * spread * _MS_PER_SECOND))
