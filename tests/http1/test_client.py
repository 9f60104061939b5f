"""The side that sends requests to a target."""

import pytest

from lovageshunt.http1 import (
    ClientConnection,
    Exchange,
    ExchangeEnd,
    Response,
)
from tests.http1.wire import FakeTransport

OURS = (b'x-attempt', b'a1')
COMPLETE = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 2\r\n\r\nok'
STALE = b'HTTP/1.1 200 OK\r\nX-Attempt: a0\r\nContent-Length: 3\r\n\r\nold'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n\r\npart'


class Wire:
    """A connection with an exchange on it."""

    def __init__(self, *, has_body: bool = True) -> None:
        self.ends: list[tuple[ExchangeEnd, Response | None]] = []
        self.closed: list[ClientConnection] = []
        self.freed: list[ClientConnection] = []
        self.connection = ClientConnection(
            self.closed.append,
            self.freed.append,
        )
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)
        self.send(has_body=has_body)

    def send(self, *, has_body: bool = True) -> None:
        self.connection.send(
            Exchange(
                encoded=b'GET / HTTP/1.1\r\n\r\n',
                identity=OURS,
                has_body=has_body,
                ended=lambda end, response: self.ends.append((end, response)),
            ),
        )

    def receive(self, *parts: bytes) -> None:
        for part in parts:
            self.connection.data_received(part)

    @property
    def only_end(self) -> ExchangeEnd:
        assert len(self.ends) == 1
        return self.ends[0][0]

    @property
    def body(self) -> bytes:
        response = self.ends[-1][1]
        assert response is not None
        return response.body


class TestClientConnection:
    """One exchange at a time, whole or lost."""

    def test_hands_over_a_whole_answer(self) -> None:
        """An answer in parts is handed over once, and whole."""
        wire = Wire()
        wire.receive(COMPLETE[:20], COMPLETE[20:])
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert wire.body == b'ok'
        assert wire.freed == [wire.connection]

    def test_passes_over_a_late_answer(self) -> None:
        """An answer to an earlier request is not given to this one."""
        wire = Wire()
        wire.receive(STALE)
        assert not wire.ends
        wire.receive(COMPLETE)
        assert wire.body == b'ok'

    def test_closes_after_bytes_behind_an_answer(self) -> None:
        """The answer counts, and its connection is used no more."""
        wire = Wire()
        wire.receive(COMPLETE + STALE)
        assert wire.body == b'ok'
        assert wire.transport.is_closed
        assert not wire.freed

    def test_closes_when_idle_and_bytes_come(self) -> None:
        """Bytes that nobody waits for end the connection."""
        wire = Wire()
        wire.receive(COMPLETE)
        wire.receive(STALE)
        assert wire.transport.is_closed

    def test_takes_garbage_behind_an_answer(self) -> None:
        """Garbage behind a whole answer costs the connection only."""
        wire = Wire()
        wire.receive(COMPLETE + b'\x00\x00\x00')
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert wire.transport.is_closed

    def test_is_cut_by_garbage(self) -> None:
        """Bytes that are no answer end the exchange as cut."""
        wire = Wire()
        wire.receive(b'nonsense\r\n\r\n')
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_is_cut_when_the_answer_breaks_off(self) -> None:
        """A close before the last byte is never a whole answer."""
        wire = Wire()
        wire.receive(COMPLETE[:-1])
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_takes_an_unframed_answer_at_its_end(self) -> None:
        """An answer without a length is whole when the target ends it."""
        wire = Wire()
        wire.receive(UNFRAMED)
        assert not wire.ends
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert wire.body == b'part'

    def test_is_cut_when_an_unframed_answer_is_reset(self) -> None:
        """An answer without a length that is reset is not whole."""
        wire = Wire()
        wire.receive(UNFRAMED)
        wire.connection.connection_lost(ConnectionResetError())
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_tells_a_close_before_any_answer(self) -> None:
        """A kept connection that closes as the request comes says so."""
        wire = Wire()
        wire.receive(COMPLETE)
        wire.send()
        wire.connection.connection_lost(None)
        assert wire.ends[-1][0] is ExchangeEnd.CLOSED

    def test_doubts_a_fresh_connection_that_closes(self) -> None:
        """A first request that meets a close may have been read."""
        wire = Wire()
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_closes_when_cancelled(self) -> None:
        """Giving an exchange up closes its connection."""
        wire = Wire()
        wire.connection.cancel()
        assert wire.only_end is ExchangeEnd.CANCELLED
        assert wire.transport.is_aborted

    def test_waits_for_no_body_of_head(self) -> None:
        """The answer to HEAD ends with its head."""
        wire = Wire(has_body=False)
        wire.receive(b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n')
        wire.receive(b'Content-Length: 9\r\n\r\n')
        assert wire.only_end is ExchangeEnd.COMPLETE

    def test_passes_over_interim_answers(self) -> None:
        """A 100 is not the answer."""
        wire = Wire()
        wire.receive(b'HTTP/1.1 100 Continue\r\n\r\n')
        assert not wire.ends
        wire.receive(COMPLETE)
        assert wire.body == b'ok'

    @pytest.mark.parametrize(
        ('field', 'seconds'),
        [(b'timeout=7', 7), (b'timeout=3, max=9', 3), (b'max=9', None)],
    )
    def test_learns_how_long_it_may_idle(
        self,
        field: bytes,
        seconds: float | None,
    ) -> None:
        """The target's word on idle connections is kept."""
        wire = Wire()
        head, _, body = COMPLETE.partition(b'\r\n\r\n')
        wire.receive(head + b'\r\nKeep-Alive: ' + field + b'\r\n\r\n' + body)
        assert wire.connection.idle_limit_seconds == seconds
