"""Server connections, with the requests of a client fed in."""

from typing import Any

import pytest

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.http1 import (
    OpenConnections,
    Request,
    ServerConnection,
    ServerLimits,
)
from tests.http1.wire import FakeTransport

UPGRADE = (
    b'POST /buy HTTP/1.1\r\nHost: x\r\nX-Attempt: a1\r\nUpgrade: h2c\r\n'
    b'Connection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABk\r\n'
)
GET = b'GET /a/b HTTP/1.1\r\nHost: x.example\r\n\r\n'


class Handler:
    """Records requests and responds to none of them."""

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
    connection = ServerConnection(
        handler, limits or ServerLimits(), OpenConnections()
    )
    transport = FakeTransport()
    connection.connection_made(transport)
    return handler, connection, transport


def respond(connection: ServerConnection, body: bytes = b'ok') -> bool:
    request = connection.current or Request(method=b'', target=b'', headers=[])
    return connection.respond(request, status=200, fields=b'', body=body)


class TestServerConnection:
    """Requests of one client connection, and when it is closed."""

    def test_delivers_complete_requests(self) -> None:
        """A body received in parts is delivered complete."""
        handler, connection, _ = connect()
        connection.data_received(
            b'POST /p/x?q=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab',
        )
        assert not handler.requests
        connection.data_received(b'cde')
        assert handler.requests[0].body == b'abcde'
        assert handler.requests[0].target == b'/p/x?q=1'

    def test_joins_chunks(self) -> None:
        """A chunked body is delivered without its framing."""
        handler, connection, _ = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
        )
        assert handler.requests[0].body == b'abc'

    def test_serves_one_at_a_time(self) -> None:
        """A pipelined request starts after the response to the previous one."""
        handler, connection, transport = connect()
        connection.data_received(GET + GET)
        assert len(handler.requests) == 1
        respond(connection)
        assert len(handler.requests) == 2
        assert transport.written.count(b'HTTP/1.1 200 OK') == 1

    def test_abandons_the_request_of_a_client_that_left(self) -> None:
        """The handler is called at once when the client disconnects."""
        handler, connection, _ = connect()
        connection.data_received(GET)
        connection.connection_lost(None)
        assert handler.abandoned_tokens == [1]

    def test_sends_nothing_after_the_client_left(self) -> None:
        """A response for a disconnected client is dropped."""
        _, connection, transport = connect()
        connection.data_received(GET)
        connection.connection_lost(None)
        assert not respond(connection)
        assert not transport.written

    def test_keeps_the_body_of_a_request_that_offers_an_upgrade(self) -> None:
        """The offer is ignored and the request is served with its body.

        Guards against UNASKED: such a purchase ran with an empty body.
        """
        framings = {
            b'Content-Length: 5': b'abcde',
            b'Transfer-Encoding: chunked': b'2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n',
        }
        for framing, body in framings.items():
            sent = b'%b%b\r\n\r\n%b%b' % (UPGRADE, framing, body, GET)
            for size, _ in enumerate(sent):
                handler, connection, transport = connect()
                connection.data_received(sent[:size])
                connection.data_received(sent[size:])
                first = handler.requests[0]
                assert (first.method, first.target) == (b'POST', b'/buy')
                assert first.body == b'abcde'
                assert first.header(b'x-attempt') == b'a1'
                assert not first.header(b'upgrade')
                assert first.keeps_alive
                respond(connection)
                assert handler.requests[1].target == b'/a/b'
                assert not transport.is_closed

    def test_closes_after_an_upgrade_if_asked_to(self) -> None:
        """Other options of the connection field stay in force."""
        handler, connection, _ = connect()
        connection.data_received(
            b'GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade, close\r\n'
            b'Upgrade: websocket\r\n\r\n'
        )
        assert not handler.requests[0].keeps_alive

    def test_refuses_to_connect(self) -> None:
        """A request for a tunnel gets status 400 and is not handled."""
        handler, connection, transport = connect()
        connection.data_received(b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\nab')
        assert not handler.requests
        assert transport.written.startswith(b'HTTP/1.1 400')
        assert transport.is_closed

    def test_serves_many_upgrades_at_once(self) -> None:
        """However many requests with offers arrive in one read."""
        handler, connection, _ = connect()
        sent = UPGRADE + b'Content-Length: 0\r\n\r\n'
        connection.data_received(sent * 2000)
        for _ in range(1999):
            respond(connection)
        assert len(handler.requests) == 2000

    def test_refuses_a_malformed_request(self) -> None:
        """A malformed request gets status 400 and a closed connection."""
        handler, connection, transport = connect()
        connection.data_received(b'\x00\x01garbage\r\n\r\n')
        assert transport.written.startswith(b'HTTP/1.1 400 ')
        assert transport.is_closed
        assert not handler.requests

    def test_refuses_two_lengths(self) -> None:
        """Both a length and chunks would allow request smuggling."""
        handler, connection, transport = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n',
        )
        assert not handler.requests
        assert transport.is_closed

    def test_refuses_a_head_that_is_too_large(self) -> None:
        """A head beyond its limit gets status 431."""
        _, connection, transport = connect(ServerLimits(head_bytes=20))
        connection.data_received(b'GET /' + b'a' * 30 + b' HTTP/1.1\r\n\r\n')
        assert transport.written.startswith(b'HTTP/1.1 431 ')

    def test_refuses_a_body_that_is_too_large(self) -> None:
        """A body beyond its limit gets status 413 and reaches no handler."""
        handler, connection, transport = connect(ServerLimits(body_bytes=3))
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd',
        )
        assert transport.written.startswith(b'HTTP/1.1 413 ')
        assert not handler.requests

    def test_sends_the_continue_response(self) -> None:
        """A client that expects ``100 Continue`` receives it."""
        _, connection, transport = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n'
            b'Expect: 100-continue\r\n\r\n',
        )
        assert transport.written == b'HTTP/1.1 100 Continue\r\n\r\n'

    def test_announces_its_close(self) -> None:
        """During a planned stop a response announces the close."""
        _, connection, transport = connect()
        connection.data_received(GET)
        connection.closes_next = True
        respond(connection)
        assert b'connection: close\r\n' in transport.written
        assert transport.is_closed

    def test_sends_no_body_for_head(self) -> None:
        """The response to HEAD has a length and no body."""
        _, connection, transport = connect()
        connection.data_received(b'HEAD / HTTP/1.1\r\nHost: x\r\n\r\n')
        respond(connection, b'abc')
        assert b'content-length: 3\r\n' in transport.written
        assert transport.written.endswith(b'\r\n\r\n')

    def test_closes_after_the_idle_limit(self) -> None:
        """A connection without a request is closed after the idle limit."""
        _, connection, transport = connect(ServerLimits(idle_seconds=5))
        connection.close_if_due(1e9)
        assert transport.is_closed

    def test_keeps_a_connection_with_a_request(self) -> None:
        """A request in progress keeps its connection open."""
        _, connection, transport = connect()
        connection.data_received(GET)
        connection.close_if_due(1e9)
        connection.close_idle()
        assert not transport.is_closed


class TestClientsNobodyControls:
    """What a client may make a node hold."""

    @pytest.mark.parametrize(
        'start',
        [b'GET / HTTP/1.1\r\nX: ', b'GET / HTTP/1.1\r\n', b'GET /', b'\r\n'],
        ids=['header value', 'header name', 'target', 'empty lines'],
    )
    def test_bounds_a_part_of_a_head(self, start: bytes) -> None:
        """The parser holds a field until it is whole, without a bound."""
        handler, connection, transport = connect(ServerLimits(head_bytes=1000))
        unit = b'\r\n' if start == b'\r\n' else b'a'
        connection.data_received(start)
        for _ in range(100):
            connection.data_received(unit * 500)
        assert transport.written.startswith(b'HTTP/1.1 431 ')
        assert transport.is_closed
        assert not handler.requests

    def test_bounds_the_framing_of_chunks(self) -> None:
        """An extension of a chunk may go on for ever."""
        _, connection, transport = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n1;'
        )
        for _ in range(100):
            connection.data_received(b'a' * 1000)
        assert transport.written.startswith(b'HTTP/1.1 400 ')

    def test_serves_a_body_in_the_smallest_chunks(self) -> None:
        """A client may frame each byte of a body."""
        handler, connection, _ = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        for _ in range(1000):
            connection.data_received(b'1\r\na\r\n' * 100)
        connection.data_received(b'0\r\n\r\n')
        assert len(handler.requests[0].body) == 100_000

    def test_gives_up_a_body_that_is_not_whole(self) -> None:
        """503 with a time to come back: it was not sent anywhere."""
        _, connection, transport = connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc'
        )
        assert connection.can_be_given_up
        connection.give_up()
        assert transport.written.startswith(b'HTTP/1.1 503 ')
        assert b'retry-after: ' in transport.written
        assert transport.is_closed

    def test_keeps_a_request_that_is_whole(self) -> None:
        """It may run already; what follows it on the connection can wait."""
        handler, connection, transport = connect()
        connection.data_received(GET)
        assert not connection.can_be_given_up
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n'
            + bytes(70_000)
        )
        assert transport.is_paused
        respond(connection)
        assert not transport.is_paused
        assert connection.can_be_given_up
        assert len(handler.requests) == 1

    def test_starts_nothing_for_a_client_that_does_not_read(self) -> None:
        """Responses do not pile up for it, and it can be given up."""
        handler, connection, transport = connect()
        connection.data_received(GET + GET)
        transport.unsent_bytes = 100_000
        connection.pause_writing()
        respond(connection)
        assert len(handler.requests) == 1
        assert connection.can_be_given_up
        transport.unsent_bytes = 0
        connection.resume_writing()
        assert len(handler.requests) == 2

    def test_starts_nothing_on_a_connection_that_closes(self) -> None:
        """Also if the client reads its last response later."""
        handler, connection, transport = connect()
        connection.data_received(GET + GET)
        connection.closes_next = True
        transport.unsent_bytes = 100_000
        connection.pause_writing()
        respond(connection)
        connection.resume_writing()
        assert len(handler.requests) == 1
        assert transport.is_closed

    def test_keeps_a_connection_after_an_empty_line(self) -> None:
        """Some clients send one behind a body; no head has begun with it."""
        _, connection, transport = connect(
            ServerLimits(head_seconds=3, idle_seconds=15)
        )
        connection.data_received(GET)
        respond(connection)
        connection.data_received(b'\r\n')
        connection.close_if_due(connection.last_progress_at + 12)
        assert not transport.is_closed

    def test_ends_a_head_that_trickles(self) -> None:
        """Each byte is progress, and the head has a time all the same."""
        _, connection, transport = connect(ServerLimits(head_seconds=5))
        connection.data_received(b'GET / HT')
        connection.last_progress_at += 100
        connection.close_if_due(connection.last_progress_at)
        assert transport.written.startswith(b'HTTP/1.1 408 ')


class RefusingHandler(Handler):
    """Responds to every request but the first within its call."""

    def handle(self, request: Request, connection: ServerConnection) -> int:
        token = super().handle(request, connection)
        if token > 1:
            connection.respond(
                request, status=503, fields=b'id: %d\r\n' % token, body=b''
            )
        return token


class TestRequestsSentAhead:
    """A client that does not wait for its responses."""

    def test_are_answered_in_their_order(self) -> None:
        """However many are refused at once, one after the other.

        Guards against MIXED: each response started the next request in a
        deeper call, until the stack was exhausted.
        """
        handler = RefusingHandler()
        connection = ServerConnection(
            handler, ServerLimits(), OpenConnections()
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.data_received(GET * 1500)
        respond(connection)
        assert len(handler.requests) == 1500
        ids = [
            int(line.removeprefix(b'id: '))
            for line in transport.written.split(b'\r\n')
            if line.startswith(b'id: ')
        ]
        assert ids == list(range(2, 1501))

    def test_get_no_response_of_another_one(self) -> None:
        """A handler that responds twice does not answer the next request."""
        handler, connection, transport = connect()
        connection.data_received(GET + GET)
        first = handler.requests[0]
        assert respond(connection)
        assert not connection.respond(
            first, status=504, fields=b'', body=b'late'
        )
        assert connection.current is handler.requests[1]
        assert b'late' not in transport.written

    def test_are_dropped_without_room(self) -> None:
        """The one in progress is answered, and then the connection closes."""
        handler, connection, transport = connect()
        connection.data_received(GET * 3)
        assert connection.can_be_given_up
        connection.give_up()
        assert not connection.can_be_given_up
        assert not transport.written
        respond(connection)
        assert transport.written.startswith(b'HTTP/1.1 200 ')
        assert b'connection: close\r\n' in transport.written
        assert len(handler.requests) == 1


class TestHeldMemory:
    """What a connection holds is counted as it is taken."""

    def connected(
        self, account: MemoryAccount
    ) -> tuple[Handler, ServerConnection, FakeTransport]:
        handler = Handler()
        connection = ServerConnection(
            handler, ServerLimits(), OpenConnections(), account
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        return handler, connection, transport

    @pytest.mark.parametrize(
        'sent',
        [
            b'POST / HTTP/1.1\r\n' + b'a:\r\n' * 3000,
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\na\r\n0\r\n' + b'a:\r\n' * 3000,
        ],
        ids=['head', 'trailing fields'],
    )
    def test_counts_fields_as_objects(self, sent: bytes) -> None:
        """A field of four bytes takes more than a hundred."""
        account = MemoryAccount()
        _, connection, _ = self.connected(account)
        connection.data_received(sent)
        assert account.held_bytes > 3000 * 100
        connection.connection_lost(None)
        assert account.held_bytes == 0

    def test_counts_requests_that_wait(self) -> None:
        """They are objects, too, and go before anything is started late."""
        account = MemoryAccount()
        _, connection, _ = self.connected(account)
        connection.data_received(GET * 1000)
        assert account.held_bytes > 1000 * 400

    def test_counts_nothing_when_all_is_answered(self) -> None:
        """An idle connection holds nothing."""
        account = MemoryAccount()
        handler, connection, _ = self.connected(account)
        connection.data_received(GET * 20)
        for _ in range(20):
            respond(connection)
        assert len(handler.requests) == 20
        assert account.held_bytes == 0

    def test_counts_no_framing_of_a_body(self) -> None:
        """A body in the smallest chunks is held without them."""
        account = MemoryAccount()
        _, connection, _ = self.connected(account)
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        for _ in range(100):
            connection.data_received(b'1\r\na\r\n' * 1000)
        assert 100_000 < account.held_bytes < 110_000

    def test_starts_no_request_without_room(self) -> None:
        """Not even one that arrives whole: 503 is true, it has not run."""
        account = MemoryAccount(2000)
        handler, connection, transport = self.connected(account)
        account.open().update(10_000)
        connection.data_received(GET)
        assert not handler.requests
        assert transport.written.startswith(b'HTTP/1.1 503 ')
        assert b'retry-after: ' in transport.written
