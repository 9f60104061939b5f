"""Reading of ASGI requests."""

from lovageshunt.client import read_inbound


async def read(headers, body=b''):
    """Read a request with these headers."""

    async def receive():
        return {'type': 'http.request', 'body': body}

    scope = {
        'method': 'GET',
        'path': '/',
        'query_string': b'a=1',
        'headers': headers,
    }
    return (await read_inbound(scope, receive, 10)).ok


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
