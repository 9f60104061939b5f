"""Exchanges over loopback: a response is complete or the exchange fails."""

import asyncio
import socket
from random import Random

import pytest

from lovageshunt.client import ExchangeFailureKind, Transport
from tests.client.wire import complete_answer, exchange_with

_LARGE = 1_000_000
_BROKEN_ANSWERS = (
    pytest.param(b'', id='never begun'),
    pytest.param(b'HTTP/1.1 200 OK\r\ncontent-le', id='in the header'),
    pytest.param(complete_answer(b'12345')[:-5], id='after the header'),
    pytest.param(complete_answer(b'12345')[:-2], id='in the body'),
    pytest.param(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n123',
        id='in a chunk',
    ),
    pytest.param(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n',
        id='before the last chunk',
    ),
)


async def answer_target(received):
    """Answer with the request's target as the body."""
    await received.answer(received.target.encode())


def first_answered_by(first):
    """Return a handler that answers all but the first request normally."""
    is_first = True

    async def serve(received):
        nonlocal is_first
        was_first, is_first = is_first, False
        await (first if was_first else answer_target)(received)

    return serve


def kind_of(exchange):
    """Return the kind of failure of an exchange."""
    return exchange.error.kind


async def is_kept_apart(seconds):
    """Check that a late answer is kept apart from the next one.

    Return whether the request arrived within its timeout, so that there was a
    late answer.
    """
    gave_up = asyncio.Event()

    async def late(received):
        await gave_up.wait()
        await received.answer(b'late')

    async with exchange_with(first_answered_by(late)) as (server, send):
        assert (
            kind_of(await send(timeout_seconds=seconds))
            is ExchangeFailureKind.LATE
        )
        if not server.requests:
            return False
        gave_up.set()
        assert (await send('/next')).ok.body == b'/next'
        assert server.connections == [1, 2]
    return True


class TestBrokenAnswer:
    """Answers that do not arrive completely."""

    @pytest.mark.parametrize('octets', _BROKEN_ANSWERS)
    async def test_cut(self, octets):
        """A connection whose answer was truncated is not reused."""

        async def cut(received):
            await received.write(octets)
            await received.close()

        async with exchange_with(first_answered_by(cut)) as (server, send):
            assert kind_of(await send()) is ExchangeFailureKind.CUT
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]

    async def test_late(self):
        """A late answer is never returned for the next request."""
        seconds = 0.02
        while not await is_kept_apart(seconds):
            # On a busy machine a request may not even arrive in time.
            seconds *= 2

    @pytest.mark.parametrize('is_stated', [True, False])
    async def test_too_large(self, is_stated):
        """A connection whose answer exceeds the limit is not reused."""

        async def large(received):
            if is_stated:
                await received.answer(b'x' * _LARGE)
                return
            await received.write(
                b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            )
            await received.write(b'f4240\r\n%b\r\n' % (b'x' * _LARGE))

        async with exchange_with(first_answered_by(large)) as (server, send):
            assert kind_of(await send()) is ExchangeFailureKind.TOO_LARGE
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]

    async def test_cancelled(self):
        """The connection of a cancelled request is not reused."""
        started = asyncio.Event()

        async def slow(received):
            started.set()
            await asyncio.sleep(0.05)
            await received.answer(b'of the cancelled')

        async with exchange_with(first_answered_by(slow)) as (server, send):
            request = asyncio.create_task(send())
            await started.wait()
            request.cancel()
            with pytest.raises(asyncio.CancelledError):
                await request
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]

    async def test_surplus(self):
        """Surplus bytes after an answer are not read as the next answer."""

        async def surplus(received):
            await received.write(
                complete_answer(b'first') + complete_answer(b'second')
            )

        async with exchange_with(first_answered_by(surplus)) as (server, send):
            assert (await send()).ok.body == b'first'
            await asyncio.sleep(0.02)
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]


class TestKeptConnection:
    """Reuse of kept-alive connections."""

    async def test_is_used_again(self):
        """A connection is reused after a complete answer."""
        async with exchange_with(answer_target) as (server, send):
            await send()
            await send()
            assert server.connections == [1, 1]

    async def test_closed_unanswered(self):
        """A request on a connection that the server closes is not resent."""

        async def serve(received):
            if received.target == '/first':
                await received.answer(b'')
            else:
                await received.close()

        async with exchange_with(serve) as (server, send):
            await send('/first')
            assert kind_of(await send('/second')) is ExchangeFailureKind.CUT
            assert server.connections == [1, 1]


class TestNoConnection:
    """Requests that fail before any byte is written."""

    async def test_refused(self):
        """A refused connection proves that nothing listens or was sent."""
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            exchange = await send_to(unused.getsockname()[1])
        assert kind_of(exchange) is ExchangeFailureKind.REFUSED
        assert exchange.error.is_unsent

    async def test_never_made(self):
        """A connect timeout proves only that nothing was sent."""
        with socket.socket() as full, socket.socket() as other:
            full.bind(('127.0.0.1', 0))
            full.listen(0)
            other.connect(full.getsockname())
            exchange = await send_to(full.getsockname()[1])
        assert kind_of(exchange) is ExchangeFailureKind.UNSENT
        assert exchange.error.is_unsent

    async def test_closed(self):
        """A closed transport sends nothing."""
        transport = Transport(max_body_bytes=10)
        exchange = await transport.send(
            address='127.0.0.1:1',
            method='GET',
            target='/',
            headers={},
            body=b'',
            timeout_seconds=1,
        )
        assert kind_of(exchange) is ExchangeFailureKind.UNSENT


class TestHeaders:
    """The headers of a request."""

    async def test_no_coding_is_asked_for(self):
        """The transport adds no ``accept-encoding``; that is the caller's."""
        async with exchange_with(answer_target) as (server, send):
            await send()
            assert 'accept-encoding' not in server.requests[0].head.lower()

    async def test_own_headers_arrive(self):
        """The headers of the call are sent unchanged."""
        async with exchange_with(answer_target) as (server, send):
            await send(headers={'accept-encoding': 'br'})
            assert 'accept-encoding: br' in server.requests[0].head.lower()


class TestManyAtOnce:
    """Concurrent requests that are answered in any order."""

    @pytest.mark.parametrize('seed', range(3))
    async def test_none_is_crossed(self, seed):
        """Each gets its own answer, even if others time out."""
        rng = Random(seed)

        async def serve(received):
            await asyncio.sleep(rng.uniform(0, 0.02))
            await answer_target(received)

        async with exchange_with(serve) as (_, send):
            targets = [f'/{number}' for number in range(300)]
            exchanges = await asyncio.gather(
                *(
                    send(target, timeout_seconds=rng.choice((0.01, 5)))
                    for target in targets
                ),
            )
        bodies = [
            (target, exchange.ok.body.decode())
            for target, exchange in zip(targets, exchanges, strict=True)
            if exchange.is_ok()
        ]
        crossed = [pair for pair in bodies if pair[0] != pair[1]]
        assert not crossed
        assert len(bodies) >= 100


async def send_to(port):
    """Send one request to a loopback port."""
    transport = Transport(max_body_bytes=10)
    await transport.start()
    try:
        return await transport.send(
            address=f'127.0.0.1:{port}',
            method='GET',
            target='/',
            headers={},
            body=b'',
            timeout_seconds=5,
        )
    finally:
        await transport.close()
