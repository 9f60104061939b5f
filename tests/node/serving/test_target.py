"""The link to the target, over loopback connections."""

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
from lovageshunt.node.serving._target import TargetLink, passing_headers
from tests.client.wire import exchange_with

_INBOUND = InboundRequest(
    method='GET',
    path='/',
    target='/',
    headers={},
    body=b'',
)


def answer_of(status=200, body=b'whole', **headers):
    """Return a server that gives one answer to each request."""
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


def saying(call_id, outcome=Outcome.ANSWERED, **said):
    """Return the control part of the library in a target."""
    info = AnswerInfo(call_id=call_id, outcome=outcome, **said)
    return {ANSWER_HEADER: encode_answer(info)}


async def cut(arrival):
    """Close without an answer."""
    await arrival.close()


async def hang(arrival):
    """Leave the request unanswered."""


@asynccontextmanager
async def link_to(serve):
    """Yield the link to a target that does this."""
    transport = Transport(max_body_bytes=1000)
    await transport.start()
    async with exchange_with(serve) as (server, _):
        yield TargetLink(
            address=server.address,
            transport=transport,
            health_path='/health',
            load_path='/load',
        )
        await transport.close()


async def dispatch(serve, *, is_repeatable=True):
    """Send the call c1 to a target and return what it came to."""
    async with link_to(serve) as link:
        return await link.dispatch(
            _INBOUND,
            call_id='c1',
            headers={},
            timeout_seconds=0.05 if serve is hang else 5,
            is_repeatable=is_repeatable,
        )


class TestOutcome:
    """What a dispatched call came to."""

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
            (answer_of(**saying('c1')), Outcome.ANSWERED, None),
            (
                answer_of(**saying('c2')),
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
        """Only an answer of this call, or none said whose, is taken."""
        reply = await dispatch(serve)
        assert (reply.outcome, reply.reason) == (outcome, reason)

    @pytest.mark.parametrize('serve', [cut, hang])
    async def test_lost_purchase_is_unknown(self, serve):
        """A purchase without an answer may have run."""
        reply = await dispatch(serve, is_repeatable=False)
        assert reply.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize('serve', [cut, hang])
    async def test_lost_lookup_is_failed(self, serve):
        """A lookup without an answer has failed, and changed nothing."""
        reply = await dispatch(serve)
        assert reply.outcome is Outcome.FAILED
        assert reply.was_cut is (serve is cut)

    async def test_retry_after(self):
        """The target's own wish for when to come back is kept."""
        reply = await dispatch(answer_of(503, retry_after='2'))
        assert reply.retry_after_ms == 2000


class TestLoad:
    """The target's own load report."""

    async def test_read(self):
        """A report is read."""
        async with link_to(answer_of(body=b'{"running":2,"slots":7}')) as link:
            load = (await link.load()).ok
        assert (load.running, load.slots) == (2, 7)

    @pytest.mark.parametrize('body', [b'', b'[]', b'{"running":"many"}'])
    async def test_malformed(self, body):
        """A malformed report is an error, not a load."""
        async with link_to(answer_of(body=body)) as link:
            assert (await link.load()).is_error()


class TestHeaders:
    """The headers that pass from the target to the caller."""

    async def test_repeated_names(self):
        """Headers of one name all pass, in their order."""

        async def cookies(arrival):
            await arrival.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
                b'set-cookie: a=1\r\nset-cookie: b=2\r\n\r\n',
            )

        reply = await dispatch(cookies)
        passing = passing_headers(reply.whole.headers)
        assert [text for _, text in passing] == ['a=1', 'b=2']
