"""Log lines about decisions on single requests."""

from logging import INFO, getLogger
from typing import Any, Final

from lovageshunt.clock import now as clock_now
from lovageshunt.observability import may_log

_log = getLogger(__name__)
#: Successful responses that are logged per second. They are a sample, so that
#: they do not displace lines about failures.
_MAX_SAMPLED_PER_SECOND: Final = 5


class DecisionLog:
    """Logs every decision, and a sample of the forwarded responses."""

    __slots__ = ('_second', '_written', '_left_out')

    def __init__(self) -> None:
        self._second = 0
        self._written = 0
        self._left_out = 0

    def write(self, message: str, request_id: bytes, **inputs: Any) -> None:
        """Log a decision on a request with the inputs that led to it.

        Under overload most refusals exceed the rate limit of the logs, and a
        record costs more than the rest of a refusal.
        """
        if not may_log(INFO):
            return
        fields = {'request_id': request_id.decode('latin-1'), **inputs}
        _log.info(message, extra=fields)

    def write_sampled(self, request_id: bytes, **inputs: Any) -> None:
        """Log a forwarded response, unless this second's sample is full."""
        second = int(clock_now())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= _MAX_SAMPLED_PER_SECOND:
            self._left_out += 1
            return
        self._written += 1
        left_out = self._left_out
        self._left_out = 0
        self.write('answered', request_id, left_out=left_out, **inputs)
