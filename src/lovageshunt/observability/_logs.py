"""Logs as JSON lines, limited in rate, with the ids of request and trace."""

import logging
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Final, TextIO

from pythonjsonlogger.orjson import OrjsonFormatter

_FORMAT: Final = '%(levelname)s %(name)s %(message)s'
_SCOPE: ContextVar[tuple[str, str]] = ContextVar(
    'lovageshunt_log_scope',
    default=('', ''),
)


class RateLimit(logging.Filter):
    """Let at most so many records a second pass, and count the others.

    The first record of a later second carries ``suppressed``, the number
    held back since the last one that carried it. Errors always pass, up to
    the same number a second again.
    """

    def __init__(
        self,
        records_per_second: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Take the rate and the clock, in seconds."""
        super().__init__()
        self._records_per_second = records_per_second
        self._clock = clock
        self._second = -1
        self.suppressed_total = 0
        self._passed = 0
        self._passed_errors = 0
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Say whether the record passes, and mark what was held back."""
        self._turn(int(self._clock()))
        if not self._has_room(record):
            self._suppressed += 1
            self.suppressed_total += 1
            return False
        if self._suppressed:
            record.suppressed = self._suppressed
            self._suppressed = 0
        return True

    def _turn(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._passed = 0
        self._passed_errors = 0

    def _has_room(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.ERROR:
            self._passed_errors += 1
            return self._passed_errors <= self._records_per_second
        self._passed += 1
        return self._passed <= self._records_per_second


class _Scope(logging.Filter):
    """Put the ids of the request and the trace on each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Fill in the ids that the record does not carry itself."""
        request_id, trace_id = _SCOPE.get()
        record.__dict__.setdefault('request_id', request_id)
        record.__dict__.setdefault('trace_id', trace_id)
        return True


@contextmanager
def log_scope(request_id: str, trace_id: str = '') -> Iterator[None]:
    """Put these ids on each record logged inside, also by tasks begun there."""
    token = _SCOPE.set((request_id, trace_id))
    try:
        yield
    finally:
        _SCOPE.reset(token)


def configure_logs(
    level: str,
    records_per_second: int,
    stream: TextIO | None = None,
    node: str = '',
) -> RateLimit:
    """Send all logs as JSON lines to one stream, by default standard error.

    ``level`` is a name such as ``INFO``. All earlier handlers are removed.
    A ``node`` is named on every line.
    Returns the limit, whose ``suppressed_total`` goes into the metrics.
    """
    limit = RateLimit(records_per_second)
    handler = logging.StreamHandler(stream)
    static_fields = {'node': node} if node else {}
    handler.setFormatter(
        OrjsonFormatter(
            _FORMAT,
            timestamp=True,
            static_fields=static_fields,
        ),
    )
    handler.addFilter(limit)
    handler.addFilter(_Scope())
    # The server tells of each start and connection below this level.
    logging.getLogger('uvicorn').setLevel(logging.WARNING)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return limit
