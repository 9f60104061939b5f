"""Dispatch of calls to the target over loopback connections."""

from contextlib import asynccontextmanager

import pytest

from lovageshunt.calls import (
    ANSWER_HEADER,
    AnswerInfo,
    Outcome,
    RefusalReason,
    encode_answer,
)
from lovageshunt.client import InboundRequest, Transport
from lovageshunt.node.serving._target import TargetLink, end_to_end_items
from tests.client.wire import complete_answer, exchange_with

_INBOUND = InboundRequest(
    method='GET',
    path='/',
    target='/',
    headers={},
    body=b'',
)


def answer_of(status=200, body=b'whole', **headers):
    """Return a server that gives the same response to each request."""
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    lines = [
        f'HTTP/1.1 {status} Some',
        f'content-length: {len(body)}',
        *(f'{name}: {text}' for name, text in names.items()),
    ]
    head = '\r\n'.join(lines).encode()

    async def serve(arrival):
        await arrival.write(head + b'\r\n\r\n%b' % body)

    return serve


def answer_header(call_id, outcome=Outcome.ANSWERED, **fields):
    """Return the answer header that the library in a target sends."""
    info = AnswerInfo(call_id=call_id, outcome=outcome, **fields)
    return {ANSWER_HEADER: encode_answer(info)}


async def disconnect(arrival):
    """Close the connection without a response."""
    await arrival.close()


async def hang(arrival):
    """Send no response."""


@asynccontextmanager
async def link_to(serve):
    """Yield a link to a target whose connections ``serve`` handles."""
    transport = Transport(max_body_bytes=1000)
    single_use = Transport(max_body_bytes=1000, keep_alive_seconds=0)
    await transport.start()
    await single_use.start()
    async with exchange_with(serve) as (server, _):
        yield TargetLink(
            address=server.address,
            transport=transport,
            single_use=single_use,
            health_path='/health',
            load_path='/load',
        )
        await transport.close()
        await single_use.close()


async def dispatch(serve, *, is_repeatable=True):
    """Send the call c1 to a target and return the reply."""
    async with link_to(serve) as link:
        return await link.dispatch(
            _INBOUND,
            call_id='c1',
            headers={},
            timeout_seconds=0.05 if serve is hang else 5,
            is_repeatable=is_repeatable,
        )


def repeating(response):
    """Return a server that sends its first response once more, late."""
    arrivals = []

    async def serve(arrival):
        arrivals.append(arrival)
        if len(arrivals) == 1 or arrival.connection == 1:
            await arrival.write(response)
        else:
            await arrival.answer(b'own')

    return serve


class TestLateCopy:
    """A response that is sent again where the next one is expected."""

    @pytest.mark.parametrize(
        'response',
        [
            b'HTTP/1.1 503 X\r\nlovageshunt-not-run: 1\r\n'
            b'content-length: 0\r\n\r\n',
            complete_answer(b'of the first'),
        ],
    )
    async def test_is_not_taken_for_the_next_response(self, response):
        """A call that runs is not told as refused, nor gets another's body.

        Guards against REFUSED and MIXED at targets that name no call.
        """
        async with link_to(repeating(response)) as link:
            replies = [
                await link.dispatch(
                    _INBOUND,
                    call_id=call_id,
                    headers={},
                    timeout_seconds=5,
                    is_repeatable=False,
                )
                for call_id in ('c1', 'c2')
            ]
        assert replies[1].outcome is Outcome.ANSWERED
        assert replies[1].response.body == b'own'


class TestOutcome:
    """Outcomes of dispatched calls."""

    @pytest.mark.parametrize(
        ('serve', 'outcome', 'reason'),
        [
            (answer_of(), Outcome.ANSWERED, None),
            (answer_of(404), Outcome.ANSWERED, None),
            (answer_of(500), Outcome.FAILED, RefusalReason.TARGET_FAILED),
            (
                answer_of(503, lovageshunt_not_run='1'),
                Outcome.NOT_RUN,
                RefusalReason.OVERLOAD,
            ),
            (answer_of(**answer_header('c1')), Outcome.ANSWERED, None),
            (
                answer_of(**answer_header('c2')),
                Outcome.UNKNOWN,
                RefusalReason.MALFORMED,
            ),
            (
                answer_of(**{ANSWER_HEADER: 'nonsense'}),
                Outcome.UNKNOWN,
                RefusalReason.MALFORMED,
            ),
        ],
    )
    async def test_of_answer(self, serve, outcome, reason):
        """A response is accepted with this call id or without an id."""
        reply = await dispatch(serve)
        assert (reply.outcome, reply.reason) == (outcome, reason)

    @pytest.mark.parametrize('status', ['000', '042', '600', '999'])
    async def test_is_unknown_without_a_status(self, status):
        """Guards against MIXED: 000 passed for an answer.

        Such bytes do not prove either that the call has not run.
        """
        reply = await dispatch(
            answer_of(status=status, lovageshunt_not_run='1'),
            is_repeatable=False,
        )
        assert reply.outcome is Outcome.UNKNOWN
        assert reply.response is None

    @pytest.mark.parametrize('serve', [disconnect, hang])
    async def test_lost_purchase_is_unknown(self, serve):
        """A purchase without a response may have run."""
        reply = await dispatch(serve, is_repeatable=False)
        assert reply.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize('serve', [disconnect, hang])
    async def test_lost_lookup_is_failed(self, serve):
        """A lookup without a response has failed, without side effects."""
        reply = await dispatch(serve)
        assert reply.outcome is Outcome.FAILED
        assert reply.was_disconnected is (serve is disconnect)

    async def test_retry_after(self):
        """The Retry-After of the target is kept."""
        reply = await dispatch(answer_of(503, retry_after='2'))
        assert reply.retry_after_ms == 2000


class TestLoad:
    """Load reports of the target."""

    async def test_read(self):
        async with link_to(answer_of(body=b'{"running":2,"slots":7}')) as link:
            load = (await link.load()).ok
        assert (load.running, load.slots) == (2, 7)

    @pytest.mark.parametrize('body', [b'', b'[]', b'{"running":"many"}'])
    async def test_malformed(self, body):
        """A malformed report is returned as an error."""
        async with link_to(answer_of(body=body)) as link:
            assert (await link.load()).is_error()


class TestHeaders:
    """Response headers that are forwarded to the caller."""

    async def test_repeated_names(self):
        """All headers of one name are forwarded in order."""

        async def cookies(arrival):
            await arrival.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
                b'set-cookie: a=1\r\nset-cookie: b=2\r\n\r\n',
            )

        reply = await dispatch(cookies)
        forwarded = end_to_end_items(reply.response.headers)
        assert [text for _, text in forwarded] == ['a=1', 'b=2']
