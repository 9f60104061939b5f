"""Requests as they are read at the ASGI border."""

from lovageshunt.client import read_inbound


async def read(headers, body=b''):
    """Return what is read of a request with these headers."""

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
    """Headers that come more than once."""

    async def test_repeated_name(self):
        """Headers of one name are joined as a list, none is lost."""
        inbound = await read([(b'accept', b'a'), (b'accept', b'b')])
        assert inbound.headers == {'accept': 'a, b'}

    async def test_repeated_cookie(self):
        """Cookies are joined as cookies are."""
        inbound = await read([(b'cookie', b'a=1'), (b'cookie', b'b=2')])
        assert inbound.headers == {'cookie': 'a=1; b=2'}


class TestTarget:
    """The path that is sent on."""

    async def test_query(self):
        """The query is sent on with the path."""
        assert (await read([])).target == '/?a=1'
