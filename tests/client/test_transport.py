"""Exchanges over loopback connections: an answer is whole or lost."""

import asyncio
import socket
from random import Random

import pytest

from lovageshunt.client import ExchangeFailureKind, Transport
from tests.client.wire import exchange_with, whole

_LARGE = 1_000_000
_BROKEN_ANSWERS = (
    pytest.param(b'', id='never begun'),
    pytest.param(b'HTTP/1.1 200 OK\r\ncontent-le', id='in the header'),
    pytest.param(whole(b'12345')[:-5], id='after the header'),
    pytest.param(whole(b'12345')[:-2], id='in the body'),
    pytest.param(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n123',
        id='in a chunk',
    ),
    pytest.param(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n',
        id='before the last chunk',
    ),
)


async def answer_target(arrival):
    """Answer with the target of the request."""
    await arrival.answer(arrival.target.encode())


def spoiling(first):
    """Return a server that treats only its first request in this way."""
    is_first = True

    async def serve(arrival):
        nonlocal is_first
        was_first, is_first = is_first, False
        await (first if was_first else answer_target)(arrival)

    return serve


def kind_of(exchange):
    """Return how an exchange was lost."""
    return exchange.error.kind


class TestBrokenAnswer:
    """Answers that do not arrive to their last byte."""

    @pytest.mark.parametrize('octets', _BROKEN_ANSWERS)
    async def test_cut(self, octets):
        """A cut answer is lost, and its connection is not used again."""

        async def cut(arrival):
            await arrival.write(octets)
            await arrival.close()

        async with exchange_with(spoiling(cut)) as (server, send):
            assert kind_of(await send()) is ExchangeFailureKind.CUT
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]

    async def test_late(self):
        """A late answer is lost, and never given to the next request."""

        async def late(arrival):
            await asyncio.sleep(0.1)
            await arrival.answer(b'late')

        async with exchange_with(spoiling(late)) as (server, send):
            assert (
                kind_of(await send(timeout_seconds=0.02))
                is ExchangeFailureKind.LATE
            )
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]

    @pytest.mark.parametrize('is_stated', [True, False])
    async def test_too_large(self, is_stated):
        """An answer beyond the bound is lost, and its connection closed."""

        async def large(arrival):
            if is_stated:
                await arrival.answer(b'x' * _LARGE)
                return
            await arrival.write(
                b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            )
            await arrival.write(b'f4240\r\n%b\r\n' % (b'x' * _LARGE))

        async with exchange_with(spoiling(large)) as (server, send):
            assert kind_of(await send()) is ExchangeFailureKind.TOO_LARGE
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]

    async def test_cancelled(self):
        """The connection of a cancelled request is not used again."""
        begun = asyncio.Event()

        async def slow(arrival):
            begun.set()
            await asyncio.sleep(0.05)
            await arrival.answer(b'of the cancelled')

        async with exchange_with(spoiling(slow)) as (server, send):
            request = asyncio.create_task(send())
            await begun.wait()
            request.cancel()
            with pytest.raises(asyncio.CancelledError):
                await request
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]

    async def test_surplus(self):
        """Bytes after an answer never become the next request's answer."""

        async def surplus(arrival):
            await arrival.write(whole(b'first') + whole(b'second'))

        async with exchange_with(spoiling(surplus)) as (server, send):
            assert (await send()).ok.body == b'first'
            await asyncio.sleep(0.02)
            assert (await send('/next')).ok.body == b'/next'
            assert server.connections == [1, 2]


class TestKeptConnection:
    """Connections that were used before."""

    async def test_is_used_again(self):
        """A connection whose answer was whole serves the next request."""
        async with exchange_with(answer_target) as (server, send):
            await send()
            await send()
            assert server.connections == [1, 1]

    async def test_closed_unanswered(self):
        """A request that meets a closing connection is not sent again."""

        async def serve(arrival):
            if arrival.target == '/first':
                await arrival.answer(b'')
            else:
                await arrival.close()

        async with exchange_with(serve) as (server, send):
            await send('/first')
            assert kind_of(await send('/second')) is ExchangeFailureKind.CUT
            assert server.connections == [1, 1]


class TestNoConnection:
    """Requests of which no byte was written."""

    async def test_refused(self):
        """A refused connection proves that nothing was sent or listens."""
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            exchange = await send_to(unused.getsockname()[1])
        assert kind_of(exchange) is ExchangeFailureKind.REFUSED
        assert exchange.error.is_unsent

    async def test_never_made(self):
        """One that is not made in time proves only that nothing was sent."""
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
    """What the transport adds to a request."""

    async def test_no_coding_is_asked_for(self):
        """The caller alone says which codings of an answer it reads."""
        async with exchange_with(answer_target) as (server, send):
            await send()
            assert 'accept-encoding' not in server.arrivals[0].head.lower()

    async def test_own_headers_arrive(self):
        """The headers of the call arrive as they are."""
        async with exchange_with(answer_target) as (server, send):
            await send(headers={'accept-encoding': 'br'})
            assert 'accept-encoding: br' in server.arrivals[0].head.lower()


class TestManyAtOnce:
    """Requests that run at once and are answered in any order."""

    @pytest.mark.parametrize('seed', range(3))
    async def test_none_is_crossed(self, seed):
        """Each gets its own answer, also when others are given up."""
        rng = Random(seed)

        async def serve(arrival):
            await asyncio.sleep(rng.uniform(0, 0.02))
            await answer_target(arrival)

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
    """Send one request to a port of loopback."""
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
