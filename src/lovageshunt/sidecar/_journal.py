"""The log lines that decisions about single requests leave."""

from logging import getLogger
from typing import Any, Final

from lovageshunt.clock import now as clock_now

_log = getLogger(__name__)
#: Ordinary answers that get a line in one second: a sample that never takes
#: the place of a line about a failure.
_ORDINARY_PER_SECOND: Final = 5


class Journal:
    """Writes one line for each decision, and a sample of ordinary answers."""

    __slots__ = ('_second', '_written', '_left_out')

    def __init__(self) -> None:
        """Begin with nothing left out."""
        self._second = 0
        self._written = 0
        self._left_out = 0

    def decided(self, message: str, request_id: bytes, **inputs: Any) -> None:
        """Write what was decided of a request, and by what."""
        fields = {'request_id': request_id.decode('latin-1'), **inputs}
        _log.info(message, extra=fields)

    def ordinary(self, request_id: bytes, **inputs: Any) -> None:
        """Write that a request was answered as usual, if there is room."""
        second = int(clock_now())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= _ORDINARY_PER_SECOND:
            self._left_out += 1
            return
        self._written += 1
        left_out = self._left_out
        self._left_out = 0
        self.decided('answered', request_id, left_out=left_out, **inputs)
