"""The side that takes requests."""

from typing import Any

from lovageshunt.http1 import Request, ServerConnection, ServerLimits
from tests.http1.wire import FakeTransport

GET = b'GET /a/b HTTP/1.1\r\nHost: x.example\r\n\r\n'


class Handler:
    """Keeps requests and answers none of them by itself."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.abandoned_tokens: list[Any] = []

    def handle(self, request: Request, connection: ServerConnection) -> int:
        self.requests.append(request)
        return len(self.requests)

    def abandon(self, token: Any) -> None:
        self.abandoned_tokens.append(token)


def connect(
    limits: ServerLimits | None = None,
) -> tuple[Handler, ServerConnection, FakeTransport]:
    handler = Handler()
    connection = ServerConnection(handler, limits or ServerLimits(), set())
    transport = FakeTransport()
    connection.connection_made(transport)
    return handler, connection, transport


def respond(connection: ServerConnection, body: bytes = b'ok') -> bool:
    return connection.respond(status=200, fields=b'', body=body)


class TestServerConnection:
    """One client connection."""

    def test_hands_over_whole_requests(self) -> None:
        """A body that comes in parts is handed over whole."""
        handler, connection, _ = connect()
        connection.data_received(
            b'POST /p/x?q=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab',
        )
        assert not handler.requests
        connection.data_received(b'cde')
        assert handler.requests[0].body == b'abcde'
        assert handler.requests[0].target == b'/p/x?q=1'

    def test_joins_chunks(self) -> None:
        """A chunked body is handed over without its framing."""
        handler, connection, _ = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
        )
        assert handler.requests[0].body == b'abc'

    def test_serves_one_at_a_time(self) -> None:
        """A pipelined request begins when the one before is answered."""
        handler, connection, transport = connect()
        connection.data_received(GET + GET)
        assert len(handler.requests) == 1
        respond(connection)
        assert len(handler.requests) == 2
        assert transport.written.count(b'HTTP/1.1 200 OK') == 1

    def test_gives_up_when_the_client_leaves(self) -> None:
        """The handler hears at once that a client has left."""
        handler, connection, _ = connect()
        connection.data_received(GET)
        connection.connection_lost(None)
        assert handler.abandoned_tokens == [1]

    def test_answers_nobody_after_the_client_left(self) -> None:
        """An answer for a client that has left goes nowhere."""
        _, connection, transport = connect()
        connection.data_received(GET)
        connection.connection_lost(None)
        assert not respond(connection)
        assert not transport.written

    def test_refuses_what_is_no_request(self) -> None:
        """Bytes that are no request get a 400 and an end."""
        handler, connection, transport = connect()
        connection.data_received(b'\x00\x01garbage\r\n\r\n')
        assert transport.written.startswith(b'HTTP/1.1 400 ')
        assert transport.is_closed
        assert not handler.requests

    def test_refuses_two_lengths(self) -> None:
        """A request with a length and chunks could smuggle another."""
        handler, connection, transport = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n',
        )
        assert not handler.requests
        assert transport.is_closed

    def test_refuses_a_head_that_is_too_large(self) -> None:
        """A head beyond its bound gets a 431."""
        _, connection, transport = connect(ServerLimits(head_bytes=20))
        connection.data_received(b'GET /' + b'a' * 30 + b' HTTP/1.1\r\n\r\n')
        assert transport.written.startswith(b'HTTP/1.1 431 ')

    def test_refuses_a_body_that_is_too_large(self) -> None:
        """A body beyond its bound gets a 413 and reaches no handler."""
        handler, connection, transport = connect(ServerLimits(body_bytes=3))
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd',
        )
        assert transport.written.startswith(b'HTTP/1.1 413 ')
        assert not handler.requests

    def test_tells_a_waiting_client_to_go_on(self) -> None:
        """A client that waits with its body is told to send it."""
        _, connection, transport = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n'
            b'Expect: 100-continue\r\n\r\n',
        )
        assert transport.written == b'HTTP/1.1 100 Continue\r\n\r\n'

    def test_announces_its_close(self) -> None:
        """After a planned stop began an answer announces the close."""
        _, connection, transport = connect()
        connection.data_received(GET)
        connection.closes_next = True
        respond(connection)
        assert b'connection: close\r\n' in transport.written
        assert transport.is_closed

    def test_sends_no_body_for_head(self) -> None:
        """The answer to HEAD tells a length and has no body."""
        _, connection, transport = connect()
        connection.data_received(b'HEAD / HTTP/1.1\r\nHost: x\r\n\r\n')
        respond(connection, b'abc')
        assert b'content-length: 3\r\n' in transport.written
        assert transport.written.endswith(b'\r\n\r\n')

    def test_closes_what_is_idle_for_too_long(self) -> None:
        """A connection without a request is closed after its limit."""
        _, connection, transport = connect(ServerLimits(idle_seconds=5))
        connection.close_if_due(1e9)
        assert transport.is_closed

    def test_keeps_a_connection_with_a_request(self) -> None:
        """A request in progress keeps its connection, however long."""
        _, connection, transport = connect()
        connection.data_received(GET)
        connection.close_if_due(1e9)
        connection.close_idle()
        assert not transport.is_closed
