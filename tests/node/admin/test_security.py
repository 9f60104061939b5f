"""TLS and the admin token, end to end."""

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
    """A raw target that counts what ran."""

    def __init__(self):
        """Begin with nothing run."""
        self.ran = Counter()
        self.contexts = []

    async def __call__(self, scope, receive, send):
        """Serve one request of the node."""
        await read_body(receive)
        self.ran[scope['path']] += 1
        context = dict(scope['headers']).get(CONTEXT_HEADER.encode())
        if context is not None:
            self.contexts.append(orjson.loads(context))
        await answer(send, 200, b'{"scheme": "%s"}' % scope['scheme'].encode())


@pytest.fixture(scope='module')
def folder(tmp_path_factory):
    """Return where the files of all tests are."""
    return tmp_path_factory.mktemp('security')


@pytest.fixture(scope='module')
def authority(folder):
    """Return the fleet's authority."""
    return Authority(folder, 'authority')


@pytest.fixture(scope='module')
def target():
    """Return the target of every node."""
    return Counting()


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def nodes(folder, authority, target):
    """Run two nodes of one service by TLS with a token."""
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
    """Return a context that checks servers, and may show a certificate."""
    tls = ssl.create_default_context(cafile=authority.path)
    if certificate is not None:
        tls.load_cert_chain(*certificate)
    return tls


async def post(address, path, tls, token='open sesame'):
    """Post an empty body to an admin side; return the status."""
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
        """Callers are served by TLS, and nodes reach each other."""
        # The deployment is ready only once each node took the other's word.
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
        """Without TLS neither side answers."""
        for address in (nodes['shop-1'].ingress, nodes['shop-1'].admin):
            async with aiohttp.ClientSession() as session:
                with pytest.raises(aiohttp.ClientError):
                    await session.get(f'http://{address}/basket')

    async def test_inquiry(self, nodes, authority, target):
        """A resend through another node gets the first one's answer."""
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
        """What only nodes send is refused without a certificate."""
        known = authority.certificate('other')
        admin = nodes['shop-1'].admin
        refused = await post(admin, EXCHANGE, trusting(authority))
        taken = await post(admin, EXCHANGE, trusting(authority, known))

        assert refused == 403
        # The certificate passed; the empty body is no envelope.
        assert taken == 400

    async def test_peer_of_other_authority(self, nodes, authority, tmp_path):
        """A certificate of another authority ends the connection."""
        foreign = Authority(tmp_path, 'foreign').certificate('stranger')
        with pytest.raises(aiohttp.ClientError):
            await post(
                nodes['shop-1'].admin,
                EXCHANGE,
                trusting(authority, foreign),
            )

    async def test_commands(self, nodes, authority, folder, capsys):
        """Commands reach the admin side with authority and token."""
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
        """A wrong token is refused, also for a drain."""
        admin = nodes['shop-1'].admin
        status = await post(admin, '/v1/drain', trusting(authority), token)
        is_serving = nodes['shop-1'].parts.runtime.is_serving

        assert status == 401
        assert is_serving


@pytest.mark.asyncio(loop_scope='module')
class TestContextKey:
    """Nodes that share a key for contexts."""

    async def call(self, nodes, authority, key):
        """Call as a program that embeds the library; say what arrived."""
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
        """Who has no key cannot claim importance or retries."""
        await self.call(nodes, authority, None)
        context = target.contexts[-1]

        assert context['importance'] == 2
        assert context['retries_left'] <= 3

    async def test_holder(self, nodes, authority, target):
        """Who has the key is believed."""
        await self.call(nodes, authority, ContextKey(KEY))
        context = target.contexts[-1]

        assert context['importance'] == 0
        assert context['retries_left'] == 50


class TestFiles:
    """Files that settings name."""

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
    def test_useless_file(self, tmp_path, authority, key, text):
        """A file that is of no use is named before anything is opened."""
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
