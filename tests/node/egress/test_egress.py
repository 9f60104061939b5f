"""Targets that do not embed the library call others through their node."""

import asyncio

import aiohttp
import orjson
import pytest
import pytest_asyncio

from tests.node.parts import answer, deployment, read_body

CONTEXT = 'lovageshunt-context'


class Shop:
    """A raw target that calls stock through the egress of its node."""

    def __init__(self):
        """Call stock once per request, and return its answer."""
        self.egress = ''
        self.paths = ('/stock/count?of=rice',)
        self.headers = None
        self.answer_headers = []
        self.header = ''
        self.calls = []
        self.replies = []

    async def __call__(self, scope, receive, send):
        """Serve one request of the node."""
        await read_body(receive)
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        if scope['path'] in ('/health', '/load'):
            await answer(send, 404)
            return
        self.header = headers[CONTEXT]
        for path in self.paths:
            status, body = await self.call(path)
        await answer(send, status, body, self.answer_headers)

    async def call(self, path):
        """Make one call as a plain HTTP client."""
        headers = self.headers
        if headers is None:
            headers = {CONTEXT: self.header}
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                f'http://{self.egress}{path}', headers=headers
            ) as reply,
        ):
            self.replies.append(reply)
            return reply.status, await reply.read()


class Stock:
    """A raw target that answers, fails or hangs."""

    def __init__(self):
        """Answer 200 until a test says otherwise."""
        self.status = 200
        self.contexts = []
        self.paths = []
        self.seconds = 0
        self.cancelled = asyncio.Event()

    async def __call__(self, scope, receive, send):
        """Serve one request of the node."""
        await read_body(receive)
        if scope['path'] in ('/health', '/load'):
            await answer(send, 404)
            return
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        self.contexts.append(orjson.loads(headers[CONTEXT]))
        self.paths.append((scope['path'], scope['query_string']))
        if self.seconds:
            message = await receive()
            assert message['type'] == 'http.disconnect'
            self.cancelled.set()
            return
        await answer(send, self.status, b'{"rice": 3}')


@pytest.fixture(scope='module')
def targets():
    """Return the calling and the called target."""
    return Shop(), Stock()


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def nodes(tmp_path_factory, targets):
    """Run the nodes of both targets."""
    shop, stock = targets
    folder = tmp_path_factory.mktemp('egress')
    by_name = {'shop-1': shop, 'stock-1': stock}
    async with deployment(folder, by_name) as running:
        yield running


@pytest.fixture
def shop(targets):
    """Return the calling target, reset."""
    targets[0].__init__()
    return targets[0]


@pytest.fixture
def stock(targets):
    """Return the called target, reset."""
    targets[1].__init__()
    return targets[1]


async def ask(nodes, shop, **headers):
    """Send one request to the shop without the client library."""
    shop.egress = nodes['shop-1'].egress
    async with (
        aiohttp.ClientSession() as session,
        session.get(
            f'http://{nodes["shop-1"].ingress}/basket',
            headers={
                name.replace('_', '-'): text for name, text in headers.items()
            },
        ) as reply,
    ):
        info = orjson.loads(reply.headers['lovageshunt-answer'])
        return reply.status, info, await reply.read()


@pytest.mark.asyncio(loop_scope='module')
class TestEgress:
    """The node makes calls for its target."""

    async def test_whole_answer(self, nodes, shop, stock):
        """A downstream call is answered and inherits request attributes."""
        status, info, body = await ask(nodes, shop)

        assert (status, body) == (200, b'{"rice": 3}')
        assert stock.paths == [('/count', b'of=rice')]
        inner, outer = stock.contexts[0], orjson.loads(shop.header)
        for name in ('request_id', 'importance', 'rank'):
            assert inner[name] == outer[name]
        assert (
            orjson.loads(shop.replies[0].headers['lovageshunt-answer'])[
                'outcome'
            ]
            == 'answered'
        )

    async def test_retries_are_divided(self, nodes, shop, stock):
        """Calls that present one context share its retry budget."""
        shop.paths = ('/stock/count',) * 4
        await ask(nodes, shop)
        shares = [context['retries_left'] for context in stock.contexts]

        assert len(shares) == 4
        assert 0 < sum(shares) <= orjson.loads(shop.header)['retries_left']

    async def test_failure_is_typed(self, nodes, shop, stock):
        """A downstream failure has its outcome and a retry delay."""
        stock.status = 500
        status, info, _ = await ask(nodes, shop)
        reply = shop.replies[0]

        assert reply.status == 502
        assert int(reply.headers['retry-after']) > 0
        assert (
            orjson.loads(reply.headers['lovageshunt-answer'])['outcome']
            == 'failed'
        )
        assert info['outcome'] == 'failed'

    async def test_unlisted_service_is_refused(self, nodes, shop):
        """A service that is not in the settings is refused with a remedy."""
        shop.paths = ('/prices/all',)
        status, _, body = await ask(nodes, shop)

        assert status == 404
        assert '[calls] services' in orjson.loads(body)['message']

    async def test_without_context(self, nodes, shop, stock):
        """A call without a context starts no root request; it is refused."""
        shop.headers = {}
        status, _, body = await ask(nodes, shop)

        assert status == 400
        assert orjson.loads(body)['reason'] == 'malformed'
        assert not stock.contexts

    async def test_forged_context(self, nodes, shop, stock):
        """A context that the node did not issue is refused."""
        await ask(nodes, shop)
        forged = orjson.loads(shop.header)
        forged['importance'] = 0
        shop.headers = {CONTEXT: orjson.dumps(forged).decode()}
        status, _, body = await ask(nodes, shop)

        assert status == 403
        assert orjson.loads(body)['reason'] == 'forbidden'
        assert len(stock.contexts) == 1

    async def test_not_run_is_not_accepted_after_a_call(
        self, nodes, shop, stock
    ):
        """After a downstream call the target cannot claim *not run*."""
        shop.answer_headers = [(b'lovageshunt-not-run', b'1')]
        _, info, _ = await ask(nodes, shop)

        assert len(stock.contexts) == 1
        assert info['outcome'] == 'failed'

    async def test_late_call(self, nodes, shop, stock):
        """A downstream call after the end of its request is refused."""
        await ask(nodes, shop)
        status, _ = await shop.call('/stock/count')

        assert status == 403
        assert len(stock.contexts) == 1

    async def test_abandoned_request(self, nodes, shop, stock):
        """When the caller disconnects, the downstream call is cancelled."""
        stock.seconds = 5
        asking = asyncio.create_task(ask(nodes, shop))
        while not stock.contexts:
            await asyncio.sleep(0.01)
        asking.cancel()
        async with asyncio.timeout(2):
            await stock.cancelled.wait()

        assert len(stock.contexts) == 1

    async def test_target_hangs_up(self, nodes, shop, stock):
        """When the target drops its call, the node cancels it downstream."""
        stock.seconds = 5
        asking = asyncio.create_task(ask(nodes, shop))
        while not stock.contexts:
            await asyncio.sleep(0.01)
        dropped = asyncio.create_task(shop.call('/stock/count'))
        while len(stock.contexts) < 2:
            await asyncio.sleep(0.01)
        dropped.cancel()
        async with asyncio.timeout(2):
            await stock.cancelled.wait()
        asking.cancel()

        assert len(stock.contexts) == 2
