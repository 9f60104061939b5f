"""The delay after which a refused call may be retried."""

from typing import Final

from lovageshunt.calls import RANK_COUNT

_MS_PER_SECOND: Final = 1000
#: The smallest factor on the base delay; the rank adds up to 1 to it.
_MIN_SPREAD: Final = 0.5


def spread_retry_after_ms(seconds: float, level: int) -> int:
    """Return a delay of 0.5 to 1.5 times ``seconds``, at least 1 ms.

    The rank of the level sets the factor, so retries do not arrive together.
    """
    spread = _MIN_SPREAD + level % RANK_COUNT / RANK_COUNT
    return max(1, int(seconds * spread * _MS_PER_SECOND))
