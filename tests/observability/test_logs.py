"""Logs."""

import io
import logging
from functools import partial

import orjson
import pytest

from lovageshunt.observability import RateLimit, configure_logs, log_scope


@pytest.fixture
def stream():
    """A stream that takes the logs, until the test is over."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield io.StringIO()
    logging.basicConfig(level=level, handlers=handlers, force=True)


def record_of(level=logging.INFO):
    """Return a log record of that level."""
    return logging.LogRecord('test', level, '', 1, 'text', (), None)


class TestConfigureLogs:
    """The form of a line."""

    def test_line_carries_the_ids(self, stream):
        """Each line is JSON with the ids of its request and trace."""
        configure_logs('INFO', 100, stream)

        with log_scope('r1', 't1'):
            logging.getLogger('x').info('refused', extra={'reason': 'overload'})

        line = orjson.loads(stream.getvalue())
        assert line['request_id'] == 'r1'
        assert line['trace_id'] == 't1'
        assert line['reason'] == 'overload'
        assert line['message'] == 'refused'

    def test_server_is_quiet(self, stream):
        """Of the server's own lines only warnings and worse are written."""
        configure_logs('INFO', 100, stream)
        server = logging.getLogger('uvicorn.error')

        server.info('Started server process')
        assert not stream.getvalue()
        server.warning('Invalid HTTP request received.')
        assert orjson.loads(stream.getvalue())['levelname'] == 'WARNING'

    def test_level_is_kept(self, stream):
        """Records below the level are not written."""
        configure_logs('WARNING', 100, stream)

        logging.getLogger('x').info('detail')

        assert not stream.getvalue()


class TestRateLimit:
    """The limit under overload."""

    def test_what_is_held_back_is_counted(self):
        """The next second's first record says how many were held back."""
        now = [0]
        limit = RateLimit(2, clock=lambda: now[0])
        passed = [limit.filter(record_of()) for _ in range(5)]
        now[0] = 1.0
        later = record_of()

        assert passed == [True, True, False, False, False]
        assert limit.filter(later)
        assert later.suppressed == 3
        assert limit.suppressed_total == 3

    def test_errors_have_their_own_room(self):
        """An error passes when other records have used up the second."""
        limit = RateLimit(1, clock=partial(float, 5))
        limit.filter(record_of())
        limit.filter(record_of())

        assert limit.filter(record_of(logging.ERROR))
        assert not limit.filter(record_of(logging.ERROR))
