"""Reading of ASGI requests."""

import pytest

from lovageshunt.client import read_inbound


async def read(headers, body=b''):
    """Read a request with these headers."""
    return (await result_of(headers, body)).ok


async def result_of(headers, body=b''):
    """Return the result of reading a request."""

    async def receive():
        return {'type': 'http.request', 'body': body}

    scope = {
        'method': 'GET',
        'path': '/',
        'query_string': b'a=1',
        'headers': headers,
    }
    return await read_inbound(scope, receive, 10)


class TestHeaders:
    """Headers that occur more than once."""

    async def test_repeated_name(self):
        """Repeated headers are joined with a comma."""
        inbound = await read([(b'accept', b'a'), (b'accept', b'b')])
        assert inbound.headers == {'accept': 'a, b'}

    async def test_repeated_cookie(self):
        """Repeated cookies are joined with a semicolon."""
        inbound = await read([(b'cookie', b'a=1'), (b'cookie', b'b=2')])
        assert inbound.headers == {'cookie': 'a=1; b=2'}


class TestTarget:
    """The target of a request that is forwarded."""

    async def test_query(self):
        """The target includes the query."""
        assert (await read([])).target == '/?a=1'


class TestUpgrade:
    """A request that offers an upgrade, of which the server reads no body."""

    @pytest.mark.parametrize(
        'framing',
        [(b'content-length', b'5'), (b'transfer-encoding', b'chunked')],
    )
    async def test_is_refused_with_a_body(self, framing):
        """It does not run without its body.

        Guards against UNASKED: such a purchase ran with an empty body.
        """
        result = await result_of([(b'upgrade', b'h2c'), framing])
        assert result.error.status == 400
        assert not result.error.is_disconnected

    async def test_is_served_without_a_body(self):
        """The offer alone does no harm."""
        fields = [(b'upgrade', b'h2c'), (b'content-length', b'0')]
        assert (await read(fields)).body == b''
