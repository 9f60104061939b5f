"""TLS, the admin token and signed contexts, end to end."""

import asyncio
import ssl
from collections import Counter

import aiohttp
import orjson
import pytest
import pytest_asyncio

from lovageshunt.calls import CONTEXT_HEADER, ContextKey
from lovageshunt.cli import main
from lovageshunt.client import Client, ClientOptions
from lovageshunt.errors import SecurityFileError
from lovageshunt.node import NodeDaemon
from lovageshunt.settings import load_node_settings
from tests.authority import Authority
from tests.node.parts import NodeParts, answer, deployment, read_body

EXCHANGE = '/v1/exchange'
KEY = b'the key of this fleet'


class Counting:
    """An ASGI target that counts requests by path and records contexts."""

    def __init__(self):
        self.ran = Counter()
        self.contexts = []

    async def __call__(self, scope, receive, send):
        """Serve one request from the node."""
        await read_body(receive)
        self.ran[scope['path']] += 1
        context = dict(scope['headers']).get(CONTEXT_HEADER.encode())
        if context is not None:
            self.contexts.append(orjson.loads(context))
        await answer(send, 200, b'{"scheme": "%s"}' % scope['scheme'].encode())


@pytest.fixture(scope='module')
def folder(tmp_path_factory):
    """Return the directory for the files of all tests."""
    return tmp_path_factory.mktemp('security')


@pytest.fixture(scope='module')
def authority(folder):
    """Return the certificate authority of the fleet."""
    return Authority(folder, 'authority')


@pytest.fixture(scope='module')
def target():
    """Return the target shared by all nodes."""
    return Counting()


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def nodes(folder, authority, target):
    """Run two nodes of one service with TLS, a token and a context key."""
    certificate, key = authority.certificate('node')
    (folder / 'key').write_bytes(KEY)
    (folder / 'token').write_text('open sesame\n', encoding='utf-8')
    async with deployment(
        folder,
        {'shop-1': target, 'shop-2': target},
        f'[security]\nadmin_token_file={folder / "token"}\n'
        f'certificate_file={certificate}\nkey_file={key}\n'
        f'authority_file={authority.path}\n'
        f'context_key_file={folder / "key"}\n',
    ) as running:
        yield running


def trusting(authority, certificate=None):
    """Return a TLS context that verifies servers with the authority.

    With ``certificate`` it presents that as the client certificate.
    """
    tls = ssl.create_default_context(cafile=authority.path)
    if certificate is not None:
        tls.load_cert_chain(*certificate)
    return tls


async def post(address, path, tls, token='open sesame'):
    """Post an empty body to an admin API; return the status."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f'https://{address}{path}',
            ssl=tls,
            headers={'authorization': f'Bearer {token}'},
        ) as reply,
    ):
        return reply.status


@pytest.mark.asyncio(loop_scope='module')
class TestTls:
    """Nodes with certificates of one authority."""

    async def test_client_and_peers(self, nodes, authority, target):
        """Callers are served over TLS, and nodes reach each other."""
        # The deployment is ready only once the nodes have confirmed each other.
        client = Client(
            ClientOptions(
                name='phone',
                failure_domain='a',
                seeds=(nodes['shop-1'].ingress,),
                services=('shop',),
                tls=trusting(authority),
            ),
        )
        await client.start()
        reply = await client.call('shop', 'GET', '/basket')
        await client.close()

        assert reply.ok.body == b'{"scheme": "http"}'
        assert target.ran['/basket'] == 1

    async def test_plain_http(self, nodes):
        """Neither ingress nor admin API responds to plain HTTP."""
        for address in (nodes['shop-1'].ingress, nodes['shop-1'].admin):
            async with aiohttp.ClientSession() as session:
                with pytest.raises(aiohttp.ClientError):
                    await session.get(f'http://{address}/basket')

    async def test_inquiry(self, nodes, authority, target):
        """A retry through another node gets the answer of the first attempt."""
        headers = {'idempotency-key': 'order-1'}
        statuses = []
        async with aiohttp.ClientSession() as session:
            for attempt, name in (('1', 'shop-1'), ('2', 'shop-2')):
                headers['lovageshunt-attempt'] = attempt
                headers['lovageshunt-age-ms'] = str(int(attempt) - 1)
                async with session.post(
                    f'https://{nodes[name].ingress}/order',
                    ssl=trusting(authority),
                    headers=headers,
                ) as reply:
                    statuses.append(reply.status)

        assert statuses == [200, 200]
        assert target.ran['/order'] == 1

    async def test_peer_without_certificate(self, nodes, authority):
        """A path for peers is refused without a client certificate."""
        known = authority.certificate('other')
        admin = nodes['shop-1'].admin
        refused = await post(admin, EXCHANGE, trusting(authority))
        accepted = await post(admin, EXCHANGE, trusting(authority, known))

        assert refused == 403
        # The certificate is valid; the empty body is no envelope.
        assert accepted == 400

    async def test_peer_of_other_authority(self, nodes, authority, tmp_path):
        """A client certificate of another authority ends the connection."""
        foreign = Authority(tmp_path, 'foreign').certificate('stranger')
        with pytest.raises(aiohttp.ClientError):
            await post(
                nodes['shop-1'].admin,
                EXCHANGE,
                trusting(authority, foreign),
            )

    async def test_commands(self, nodes, authority, folder, capsys):
        """CLI commands reach the admin API with authority and token."""
        code = await asyncio.to_thread(
            main,
            [
                'status',
                f'--nodes={nodes["shop-1"].admin}',
                f'--authority-file={authority.path}',
                f'--token-file={folder / "token"}',
            ],
        )

        assert code == 0
        assert 'shop-1' in capsys.readouterr().out

    @pytest.mark.parametrize('token', ['', 'open', 'open sesame!', 'ö'])
    async def test_wrong_token(self, nodes, authority, token):
        """A request with a wrong token is refused and drains nothing."""
        admin = nodes['shop-1'].admin
        status = await post(admin, '/v1/drain', trusting(authority), token)
        is_serving = nodes['shop-1'].parts.runtime.is_serving

        assert status == 401
        assert is_serving


@pytest.mark.asyncio(loop_scope='module')
class TestContextKey:
    """Nodes that share a key that signs contexts."""

    async def call(self, nodes, authority, key):
        """Call through the library, claiming top importance and 50 retries."""
        client = Client(
            ClientOptions(
                name='phone',
                failure_domain='a',
                seeds=(nodes['shop-1'].ingress,),
                services=('shop',),
                tls=trusting(authority),
                context_key=key,
            ),
        )
        await client.start()
        claimed = client.request().context
        claimed.importance = 0
        claimed.retries_left = 50
        reply = await client.inner_scope(claimed).call('shop', 'GET', '/basket')
        await client.close()
        assert reply.is_ok()

    async def test_claim(self, nodes, authority, target):
        """A caller without the key cannot claim importance or retries."""
        await self.call(nodes, authority, None)
        context = target.contexts[-1]

        assert context['importance'] == 2
        assert context['retries_left'] <= 3

    async def test_holder(self, nodes, authority, target):
        """The claims of a caller with the key are accepted."""
        await self.call(nodes, authority, ContextKey(KEY))
        context = target.contexts[-1]

        assert context['importance'] == 0
        assert context['retries_left'] == 50


class TestFiles:
    """Security files that the settings name."""

    @pytest.mark.parametrize(
        ('key', 'text'),
        [
            ('admin_token_file', ' \n'),
            ('admin_token_file', None),
            ('certificate_file', 'no certificate'),
            ('authority_file', 'no authority'),
            ('context_key_file', 'short'),
        ],
    )
    def test_unusable_file(self, tmp_path, authority, key, text):
        """An unusable file raises an error with its key, before start-up."""
        certificate, key_path = authority.certificate('node')
        by_key = {
            'certificate_file': certificate,
            'key_file': key_path,
            'authority_file': authority.path,
        }
        by_key[key] = tmp_path / 'bad'
        if text is not None:
            by_key[key].write_text(text, encoding='utf-8')
        lines = ''.join(f'{name}={path}\n' for name, path in by_key.items())
        path = tmp_path / 'node.ini'
        settings = NodeParts('shop-1').settings('127.0.0.1:1', '[security]\n')
        path.write_text(settings + lines, encoding='utf-8')

        with pytest.raises(SecurityFileError, match=key):
            NodeDaemon(load_node_settings(path).ok, int)
