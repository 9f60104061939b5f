"""Rate-limited JSON log lines with request and trace ids."""

import logging
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from io import UnsupportedOperation
from typing import Final, TextIO

from pythonjsonlogger.orjson import OrjsonFormatter

from lovageshunt.observability._log_stream import LogStream

_FORMAT: Final = '%(levelname)s %(name)s %(message)s'
_SCOPE: ContextVar[tuple[str, str]] = ContextVar(
    'lovageshunt_log_scope',
    default=('', ''),
)


class LogRateLimit(logging.Filter):
    """Drop and count the records above a rate.

    The first record that passes after a drop carries ``suppressed``, the
    number of records dropped since the last one that carried it. Errors have
    a limit of their own, equally high, so that other records cannot displace
    them. ``suppressed_total`` counts all dropped records.
    """

    def __init__(
        self,
        records_per_second: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Limit to a rate in records per second of a clock in seconds."""
        super().__init__()
        self._records_per_second = records_per_second
        self._clock = clock
        self._second = -1
        self.suppressed_total = 0
        self._passed = 0
        self._passed_errors = 0
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record passes; add ``suppressed`` if it is due."""
        self._start_second(int(self._clock()))
        if not self._is_within_limit(record):
            self._suppressed += 1
            self.suppressed_total += 1
            return False
        if self._suppressed:
            record.suppressed = self._suppressed
            self._suppressed = 0
        return True

    def admits(self, level: int) -> bool:
        """Return whether a record of a level passes now; count it if not.

        It lets a caller leave out the work for a record that would be dropped.
        """
        self._start_second(int(self._clock()))
        is_error = level >= logging.ERROR
        passed = self._passed_errors if is_error else self._passed
        if passed < self._records_per_second:
            return True
        self._suppressed += 1
        self.suppressed_total += 1
        return False

    def note_dropped(self) -> None:
        """Count a record that passed and could not be written."""
        self._suppressed += 1
        self.suppressed_total += 1

    def _start_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._passed = 0
        self._passed_errors = 0

    def _is_within_limit(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.ERROR:
            self._passed_errors += 1
            return self._passed_errors <= self._records_per_second
        self._passed += 1
        return self._passed <= self._records_per_second


class _ScopeIds(logging.Filter):
    """Add the ids of the current request and trace to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Pass every record; ids that it already has are kept."""
        request_id, trace_id = _SCOPE.get()
        record.__dict__.setdefault('request_id', request_id)
        record.__dict__.setdefault('trace_id', trace_id)
        return True


@contextmanager
def log_scope(request_id: str, trace_id: str = '') -> Iterator[None]:
    """Add ids to records logged in the block or by tasks started there."""
    token = _SCOPE.set((request_id, trace_id))
    try:
        yield
    finally:
        _SCOPE.reset(token)


def may_log(level: int) -> bool:
    """Return whether the rate limit lets a record pass now; count it if not."""
    return all(
        limit.admits(level)
        for handler in logging.getLogger().handlers
        for limit in handler.filters
        if isinstance(limit, LogRateLimit)
    )


def configure_logs(
    level: str,
    records_per_second: int,
    stream: TextIO | None = None,
    node: str = '',
) -> LogRateLimit:
    """Send all logs as JSON lines to one stream, by default standard error.

    ``level`` is a name such as ``INFO``. Existing handlers of the root logger
    are removed. If ``node`` is given, every line has it as a field.
    A stream with a descriptor is never waited for: see ``LogStream``.
    Returns the rate limit, whose ``suppressed_total`` is for the metrics.
    """
    limit = LogRateLimit(records_per_second)
    handler = logging.StreamHandler(_stream_of(stream or sys.stderr, limit))
    static_fields = {'node': node} if node else {}
    handler.setFormatter(
        OrjsonFormatter(
            _FORMAT,
            timestamp=True,
            static_fields=static_fields,
        ),
    )
    handler.addFilter(limit)
    handler.addFilter(_ScopeIds())
    # Below this level the HTTP server logs each start and each connection.
    logging.getLogger('uvicorn').setLevel(logging.WARNING)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return limit


def _stream_of(stream: TextIO, limit: LogRateLimit) -> TextIO | LogStream:
    """Return a stream that does not block; one without descriptor does not."""
    try:
        descriptor = stream.fileno()
    except (UnsupportedOperation, ValueError):
        return stream
    return LogStream(descriptor, limit.note_dropped)
