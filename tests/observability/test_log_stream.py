"""Log lines that nobody reads, or that are read late."""

import logging
import os
from collections.abc import Iterator

import pytest

from lovageshunt.observability import configure_logs
from lovageshunt.observability._log_stream import LogStream

LINE = 'x' * 999 + '\n'
#: More than a pipe and the stream hold together.
MANY = 2000


class Pipe:
    """A pipe with a stream at one end; ``dropped`` counts its lines."""

    def __init__(self) -> None:
        ends = os.pipe()
        self.reading = ends[0]
        self.writing = ends[1]
        self.dropped = 0
        self.stream = LogStream(self.writing, self._count)

    def read(self) -> bytes:
        return os.read(self.reading, 1 << 24)

    def close(self) -> None:
        os.close(self.reading)
        os.close(self.writing)

    def _count(self) -> None:
        self.dropped += 1


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    opened = Pipe()
    yield opened
    opened.close()


class TestLogStream:
    """A stream whose reader may stand still."""

    def test_never_blocks(self, pipe: Pipe) -> None:
        """Lines beyond the bound are dropped and counted."""
        for _ in range(MANY):
            pipe.stream.write(LINE)
            pipe.stream.flush()
        assert 0 < pipe.dropped < MANY

    def test_goes_on_when_it_is_read(self, pipe: Pipe) -> None:
        """What was not dropped arrives whole and in order."""
        for at in range(MANY):
            pipe.stream.write(f'{at:999d}\n')
            pipe.stream.flush()
        kept = MANY - pipe.dropped
        received = b''
        while received.count(b'\n') < kept:
            received += pipe.read()
            pipe.stream.flush()
        assert [int(line) for line in received.split()] == list(range(kept))

    def test_writes_long_lines(self, pipe: Pipe) -> None:
        """A line may be longer than what a pipe takes at once."""
        pipe.stream.write('y' * 20_000 + '\n')
        pipe.stream.flush()
        assert pipe.read() == b'y' * 20_000 + b'\n'

    def test_tells_that_nobody_can_read(self, pipe: Pipe) -> None:
        """The error is the caller's, and what waits is dropped."""
        with open(os.devnull, 'rb') as other:
            os.dup2(other.fileno(), pipe.reading)
        pipe.stream.write(LINE)
        with pytest.raises(BrokenPipeError):
            pipe.stream.flush()
        pipe.stream.flush()


class TestUnreadLogs:
    """The logs of a process whose standard error is not read."""

    def test_records_are_counted_as_suppressed(self, pipe: Pipe) -> None:
        """Guards against a process that stands still for its log."""
        root = logging.getLogger()
        handlers, level = list(root.handlers), root.level
        with os.fdopen(os.dup(pipe.writing), 'w') as stream:
            limit = configure_logs('INFO', 10 * MANY, stream)
            for _ in range(MANY):
                logging.getLogger('x').info(LINE)
        logging.basicConfig(level=level, handlers=handlers, force=True)
        assert 0 < limit.suppressed_total < MANY
