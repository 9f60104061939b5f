"""Which contexts ``InboundCalls`` trusts."""

import pytest

from lovageshunt.calls import (
    CONTEXT_HEADER,
    CallContext,
    ContextKey,
    encode_context,
    rank_of,
)
from lovageshunt.client import Client, ClientOptions, InboundCalls, scope_of

KEY = ContextKey(b'the key of the fleet')
OTHER = ContextKey(b'the key of a stranger')


async def served(own_key, header):
    """Return the scope that an application gets for a context header."""
    found = []

    async def app(scope, receive, send):
        found.append(scope_of(scope))

    async def receive():
        return {'type': 'http.request', 'body': b''}

    client = Client(
        ClientOptions(
            name='shop',
            failure_domain='a',
            seeds=(),
            services=(),
            context_key=own_key,
        ),
    )
    scope = {
        'type': 'http',
        'method': 'GET',
        'path': '/',
        'headers': [(CONTEXT_HEADER.encode(), header.encode())],
    }
    await InboundCalls(app, client)(scope, receive, None)
    return found[0]


def header_of(key):
    """Return a context with the highest claims, signed if there is a key."""
    context = CallContext(
        request_id='r',
        call_id='r.1',
        importance=0,
        rank=0,
        timeout_ms=1000,
        retries_left=9,
    )
    return encode_context(context, key)


@pytest.mark.asyncio
class TestTrust:
    """Contexts that are trusted or not."""

    @pytest.mark.parametrize('sent_key', [None, OTHER])
    async def test_unknown_context(self, sent_key):
        """Retries and rank of a context with no valid signature are ignored."""
        calls = await served(KEY, header_of(sent_key))

        assert calls.call_id == 'r.1'
        assert calls.unspent == 0
        assert calls.context.rank == rank_of('r')

    @pytest.mark.parametrize('key', [None, KEY])
    async def test_known_context(self, key):
        """Retries and rank of a trusted context are used."""
        calls = await served(key, header_of(key))

        assert calls.unspent == 9
        assert calls.context.rank == 0

    async def test_no_context(self):
        """Each request without a context is a root request."""
        first = await served(None, '')
        second = await served(None, '')

        assert first.request_id != second.request_id
        assert first.unspent == 0
