"""Client connections, with the responses of a server fed in."""

import pytest

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.http1 import (
    ClientConnection,
    Exchange,
    ExchangeEnd,
    Response,
    ResponseBuffers,
    ResponseLimits,
)
from tests.http1.wire import FakeTransport

OURS = (b'x-attempt', b'a1')
COMPLETE = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 2\r\n\r\nok'
STALE = b'HTTP/1.1 200 OK\r\nX-Attempt: a0\r\nContent-Length: 3\r\n\r\nold'
REFUSAL = b'HTTP/1.1 503 X\r\nX-Attempt: a1\r\nContent-Length: 0\r\n\r\n'
NO_CONTENT = b'HTTP/1.1 204 No Content\r\nX-Attempt: a1\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n\r\npart'


def exchange_of(attempt_id: bytes) -> Exchange:
    return Exchange(
        encoded=b'GET / HTTP/1.1\r\n\r\n',
        identity=(b'x-attempt', attempt_id),
        ended=lambda end, response: None,
    )


class Wire:
    """A connection over a fake transport, with one exchange sent."""

    def __init__(
        self,
        *,
        has_body: bool = True,
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self.ends: list[tuple[ExchangeEnd, Response | None]] = []
        self.closed: list[ClientConnection] = []
        self.freed: list[ClientConnection] = []
        self.connection = ClientConnection(
            self.closed.append,
            self.freed.append,
            buffers or ResponseBuffers(ResponseLimits()),
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
    """How exchanges end, and when a connection is reused."""

    def test_delivers_a_complete_response(self) -> None:
        """A response received in parts is delivered once, complete."""
        wire = Wire()
        wire.receive(COMPLETE[:20], COMPLETE[20:])
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert wire.body == b'ok'
        assert wire.freed == [wire.connection]

    def test_ignores_a_stale_response(self) -> None:
        """The response to an earlier request is not delivered for this one."""
        wire = Wire()
        wire.receive(STALE)
        assert not wire.ends
        wire.receive(COMPLETE)
        assert wire.body == b'ok'

    def test_closes_after_bytes_behind_a_response(self) -> None:
        """The response is valid, but its connection is not reused."""
        wire = Wire()
        wire.receive(COMPLETE + STALE)
        assert wire.body == b'ok'
        assert wire.transport.is_closed
        assert not wire.freed

    def test_closes_when_idle_and_bytes_arrive(self) -> None:
        """Unexpected bytes close an idle connection."""
        wire = Wire()
        wire.receive(COMPLETE)
        wire.receive(STALE)
        assert wire.transport.is_closed

    def test_accepts_a_response_before_garbage(self) -> None:
        """Garbage behind a complete response only closes the connection."""
        wire = Wire()
        wire.receive(COMPLETE + b'\x00\x00\x00')
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert wire.transport.is_closed

    def test_is_incomplete_after_garbage(self) -> None:
        """Bytes that are not a response end the exchange as incomplete."""
        wire = Wire()
        wire.receive(b'nonsense\r\n\r\n')
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_is_incomplete_when_the_response_is_truncated(self) -> None:
        """A close before the last byte never yields a response."""
        wire = Wire()
        wire.receive(COMPLETE[:-1])
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_accepts_an_unframed_response_at_its_end(self) -> None:
        """A clean close completes a response without a length."""
        wire = Wire()
        wire.receive(UNFRAMED)
        assert not wire.ends
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert wire.body == b'part'

    def test_is_incomplete_when_an_unframed_response_is_reset(self) -> None:
        """A reset does not complete a response without a length."""
        wire = Wire()
        wire.receive(UNFRAMED)
        wire.connection.connection_lost(ConnectionResetError())
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    @pytest.mark.parametrize('first', [COMPLETE, NO_CONTENT])
    @pytest.mark.parametrize('second', [COMPLETE, UNFRAMED, REFUSAL])
    def test_is_incomplete_when_the_head_is_truncated(
        self, first: bytes, second: bytes
    ) -> None:
        """Wherever a head is cut, a clean close never completes a response.

        Guards against MIXED: a 200 with an empty body, framed as complete.
        """
        head = second[: second.index(b'\r\n\r\n') + 3]
        for size in range(len(head) + 1):
            wire = Wire()
            wire.receive(first)
            wire.send()
            wire.receive(head[:size])
            wire.connection.connection_lost(None)
            assert wire.ends[-1][1] is None

    def test_reports_a_close_before_any_response(self) -> None:
        """A reused connection may close while the request is on its way."""
        wire = Wire()
        wire.receive(COMPLETE)
        wire.send()
        wire.connection.connection_lost(None)
        assert wire.ends[-1][0] is ExchangeEnd.CLOSED

    def test_is_incomplete_when_a_new_connection_closes(self) -> None:
        """The server may have read the first request before it closed."""
        wire = Wire()
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_closes_when_cancelled(self) -> None:
        """Cancelling an exchange closes its connection."""
        wire = Wire()
        wire.connection.cancel()
        assert wire.only_end is ExchangeEnd.CANCELLED
        assert wire.transport.is_aborted

    def test_expects_no_body_after_head(self) -> None:
        """The response to HEAD ends with its headers."""
        wire = Wire(has_body=False)
        wire.receive(b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n')
        wire.receive(b'Content-Length: 9\r\n\r\n')
        assert wire.only_end is ExchangeEnd.COMPLETE

    def test_carries_no_refused_request_again(self) -> None:
        """A refused request must use another connection when it is retried."""
        wire = Wire()
        wire.receive(REFUSAL)
        assert not wire.connection.may_carry(exchange_of(b'a1'))
        assert wire.connection.may_carry(exchange_of(b'a2'))
        assert not wire.transport.is_closed

    @pytest.mark.parametrize('status', [b'200 OK', b'503 X', b'421 X'])
    def test_takes_no_response_without_an_id_after_another(
        self, status: bytes
    ) -> None:
        """It may be a second, late copy of an earlier response.

        Guards against REFUSED: a request that runs is told as not run.
        """
        wire = Wire()
        wire.receive(COMPLETE)
        wire.send()
        wire.receive(b'HTTP/1.1 ' + status + b'\r\nContent-Length: 0\r\n\r\n')
        assert wire.ends[-1] == (ExchangeEnd.INCOMPLETE, None)
        assert wire.transport.is_closed

    def test_accepts_a_response_before_one_without_an_id(self) -> None:
        """What follows a complete response does not make it doubtful."""
        wire = Wire()
        wire.receive(COMPLETE)
        wire.send()
        wire.receive(COMPLETE + b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n')
        assert wire.body == b'ok'
        assert wire.transport.is_closed

    def test_takes_a_response_without_an_id_as_the_first(self) -> None:
        """It cannot be an earlier one; the connection is not reused."""
        wire = Wire()
        wire.receive(b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n')
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert wire.transport.is_closed
        assert not wire.freed

    def test_is_closed_after_many_refusals(self) -> None:
        """What a connection remembers of its refusals is bounded."""
        wire = Wire()
        for number in range(1000):
            if wire.transport.is_closed:
                break
            attempt_id = b'r%d' % number
            wire.connection.send(exchange_of(attempt_id))
            wire.receive(REFUSAL.replace(b'a1', attempt_id))
        assert wire.transport.is_closed
        assert number > 100

    def test_ignores_interim_responses(self) -> None:
        """A response with status 100 does not end the exchange."""
        wire = Wire()
        wire.receive(b'HTTP/1.1 100 Continue\r\n\r\n')
        assert not wire.ends
        wire.receive(COMPLETE)
        assert wire.body == b'ok'

    @pytest.mark.parametrize(
        ('field', 'seconds'),
        [(b'timeout=7', 7), (b'timeout=3, max=9', 3), (b'max=9', None)],
    )
    def test_reads_the_idle_limit(
        self,
        field: bytes,
        seconds: float | None,
    ) -> None:
        """The timeout in ``Keep-Alive`` becomes the idle limit, in seconds."""
        wire = Wire()
        head, _, body = COMPLETE.partition(b'\r\n\r\n')
        wire.receive(head + b'\r\nKeep-Alive: ' + field + b'\r\n\r\n' + body)
        assert wire.connection.idle_limit_seconds == seconds


HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n'
#: Far more than a response may have, in bytes.
_ENDLESS_BYTES = 16 * 1024 * 1024
_PART_BYTES = 65536


def endless(part: bytes) -> list[bytes]:
    """Repeat bytes until they are more than any response may have."""
    piece = part * (_PART_BYTES // len(part) + 1)
    return [piece] * (_ENDLESS_BYTES // len(piece))


class TestBytesWithoutEnd:
    """A target in trouble sends bytes until its connection is closed."""

    @pytest.mark.parametrize(
        ('start', 'part'),
        [
            (b'', b'HTTP'),
            (b'HTTP/1.1 200 ', b'OK'),
            (HEAD + b'X-Long: ', b'x'),
            (HEAD, b'X-More: y\r\n'),
            (HEAD + b'\r\n', b'body'),
            (HEAD + b'Content-Length: 99999999999\r\n\r\n', b'body'),
            (HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n'),
            (
                HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
                b'X-More: y\r\n',
            ),
            (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
            (b'', STALE),
        ],
    )
    def test_are_cut_off(self, start: bytes, part: bytes) -> None:
        """In whatever part of a response they come, the exchange ends."""
        wire = Wire()
        wire.receive(start)
        for piece in endless(part):
            wire.receive(piece)
            if wire.ends:
                break
        assert wire.only_end is ExchangeEnd.INCOMPLETE
        assert wire.transport.is_aborted

    def test_are_bounded_for_all_connections_together(self) -> None:
        """When the pool's room is used up, the next bytes end an exchange."""
        buffers = ResponseBuffers(ResponseLimits(total_bytes=300000))
        wires = [Wire(buffers=buffers) for _ in range(4)]
        for wire in wires:
            wire.receive(HEAD + b'\r\n', b'x' * 99000)
        assert [len(wire.ends) for wire in wires] == [0, 0, 0, 1]
        wires[0].connection.cancel()
        other = Wire(buffers=buffers)
        other.receive(HEAD + b'\r\n', b'x' * 99000)
        assert not other.ends

    def test_are_counted_as_objects(self) -> None:
        """Trailing fields of four bytes, each of which takes a hundred."""
        account = MemoryAccount()
        limits = ResponseLimits(head_bytes=10**6, total_bytes=10**6)
        wire = Wire(buffers=ResponseBuffers(limits, account))
        wire.receive(HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n')
        wire.receive(b'a:\r\n' * 5000)
        assert account.held_bytes > 5000 * 100
        wire.receive(b'a:\r\n' * 5000)
        assert wire.only_end is ExchangeEnd.INCOMPLETE
        assert account.held_bytes == 0

    def test_trailing_fields_count_with_their_framing(self) -> None:
        """Fields without a name and a value to speak of end, too."""
        wire = Wire()
        wire.receive(HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n')
        wire.receive(b'a:\r\n' * 20_000)
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_nothing_is_held_between_exchanges(self) -> None:
        """A kept connection may be idle for long."""
        account = MemoryAccount()
        wire = Wire(buffers=ResponseBuffers(ResponseLimits(), account))
        wire.receive(HEAD + b'Content-Length: 90000\r\n\r\n', b'x' * 90_000)
        assert wire.only_end is ExchangeEnd.COMPLETE
        assert account.held_bytes == 0


def response_with(status: str, extra: str = '') -> bytes:
    return (
        f'HTTP/1.1 {status} S\r\nX-Attempt: a1\r\n{extra}'
        'Content-Length: 2\r\n\r\nok'
    ).encode()


class TestStatuses:
    """What is a status, and what is bytes that are no response."""

    @pytest.mark.parametrize(
        'status', ['000', '001', '099', '600', '999', '20', '2000', 'abc']
    )
    def test_refuses_what_is_no_status(self, status: str) -> None:
        """Guards against MIXED: a client got 600 and 999 as an answer."""
        wire = Wire()
        wire.receive(response_with(status))
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.INCOMPLETE
        assert wire.transport.is_closed
        assert not wire.freed

    @pytest.mark.parametrize('status', ['200', '299', '304', '499', '599'])
    def test_delivers_a_final_status(self, status: str) -> None:
        """Each status from 200 to 599 is an answer, known or not."""
        wire = Wire()
        wire.receive(response_with(status))
        assert wire.only_end is ExchangeEnd.COMPLETE

    @pytest.mark.parametrize('status', ['100', '103', '199'])
    def test_waits_after_an_interim_status(self, status: str) -> None:
        """It precedes the final one, and alone is no answer."""
        wire = Wire()
        wire.receive(f'HTTP/1.1 {status} S\r\nX-Attempt: a1\r\n\r\n'.encode())
        assert not wire.ends
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_refuses_to_switch_protocols(self) -> None:
        """Nobody asked for another protocol."""
        wire = Wire()
        wire.receive(
            b'HTTP/1.1 101 S\r\nX-Attempt: a1\r\nUpgrade: h2c\r\n'
            b'Connection: upgrade\r\n\r\n'
        )
        wire.connection.connection_lost(None)
        assert wire.only_end is ExchangeEnd.INCOMPLETE

    def test_keeps_no_connection_with_a_body_after_no_content(self) -> None:
        """The answer has no body; what follows it belongs to nothing."""
        wire = Wire()
        wire.receive(NO_CONTENT + b'body')
        assert wire.body == b''
        assert wire.transport.is_closed
        assert not wire.freed
