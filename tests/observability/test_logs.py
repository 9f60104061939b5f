"""Format and rate limit of log lines."""

import io
import logging
from functools import partial

import orjson
import pytest

from lovageshunt.observability import (
    LogRateLimit,
    configure_logs,
    log_scope,
    may_log,
)


@pytest.fixture
def stream():
    """Yield a stream for logs; restore the root logger afterwards."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield io.StringIO()
    logging.basicConfig(level=level, handlers=handlers, force=True)


def record_of(level=logging.INFO):
    """Return a log record of a level."""
    return logging.LogRecord('test', level, '', 1, 'text', (), None)


class TestConfigureLogs:
    """The format of log lines."""

    def test_line_has_the_ids(self, stream):
        """A line is a JSON object with the ids of request and trace."""
        configure_logs('INFO', 100, stream)

        with log_scope('r1', 't1'):
            logging.getLogger('x').info('refused', extra={'reason': 'overload'})

        line = orjson.loads(stream.getvalue())
        assert line['request_id'] == 'r1'
        assert line['trace_id'] == 't1'
        assert line['reason'] == 'overload'
        assert line['message'] == 'refused'

    def test_server_info_is_not_written(self, stream):
        """The HTTP server's records below WARNING are not written."""
        configure_logs('INFO', 100, stream)
        server = logging.getLogger('uvicorn.error')

        server.info('Started server process')
        assert not stream.getvalue()
        server.warning('Invalid HTTP request received.')
        assert orjson.loads(stream.getvalue())['levelname'] == 'WARNING'

    def test_level_is_applied(self, stream):
        """Records below the level are not written."""
        configure_logs('WARNING', 100, stream)

        logging.getLogger('x').info('detail')

        assert not stream.getvalue()


class TestRateLimit:
    """Dropping and counting of records."""

    def test_dropped_records_are_counted(self):
        """The first record of the next second has the number dropped."""
        now = [0]
        limit = LogRateLimit(2, clock=lambda: now[0])
        passed = [limit.filter(record_of()) for _ in range(5)]
        now[0] = 1.0
        later = record_of()

        assert passed == [True, True, False, False, False]
        assert limit.filter(later)
        assert later.suppressed == 3
        assert limit.suppressed_total == 3

    def test_errors_have_their_own_limit(self):
        """An error passes when other records have used up their limit."""
        limit = LogRateLimit(1, clock=partial(float, 5))
        limit.filter(record_of())
        limit.filter(record_of())

        assert limit.filter(record_of(logging.ERROR))
        assert not limit.filter(record_of(logging.ERROR))


class TestMayLog:
    """Whether a record would be written, asked before it is made."""

    def test_refusals_beyond_the_rate_are_counted(self, stream):
        """What is left out counts as dropped, and the next line says so."""
        limit = configure_logs('INFO', 1, stream)
        clock = [0.0]
        limit._clock = lambda: clock[0]
        logger = logging.getLogger('x')
        assert may_log(logging.INFO)
        logger.info('first')
        assert not may_log(logging.INFO)
        assert limit.suppressed_total == 1
        clock[0] = 1.0
        logger.info('second')
        last = orjson.loads(stream.getvalue().splitlines()[-1])
        assert last['suppressed'] == 1

    def test_errors_have_their_own_limit(self, stream):
        """Refusals beyond the rate leave room for an error."""
        limit = configure_logs('INFO', 1, stream)
        limit._clock = float
        logging.getLogger('x').info('first')
        assert not may_log(logging.INFO)
        assert may_log(logging.ERROR)
