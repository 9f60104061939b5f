"""The interval between requests for the same parts."""

from typing import Final

#: Requests without progress that are sent at the base interval.
_MAX_FAST_REQUESTS: Final = 8
#: Multiplies the base interval after these.
_SLOW_FACTOR: Final = 4


class RequestInterval:
    """Lengthens the interval while requests bring no progress.

    When an entire fleet starts at once, requests alone would use up the byte
    budget of its nodes and leave none for the responses. ``seconds`` is the
    base interval.
    """

    __slots__ = ('_seconds', '_last_missing', '_requests')

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._last_missing: tuple[str, ...] = ()
        self._requests = 0

    def next_seconds(self, missing: tuple[str, ...]) -> float:
        """Return the seconds until the next request for ``missing``."""
        if missing != self._last_missing:
            self._last_missing = missing
            self._requests = 0
        self._requests += 1
        if self._requests <= _MAX_FAST_REQUESTS:
            return self._seconds
        return self._seconds * _SLOW_FACTOR
