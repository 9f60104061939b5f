"""Requests that are no calls, at a node that runs."""

import aiohttp
import pytest
import pytest_asyncio

from tests.node.parts import answer, deployment, read_body


async def plain(scope, receive, send):
    """Answer everything."""
    await read_body(receive)
    await answer(send)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def node(tmp_path_factory):
    """Run one node."""
    folder = tmp_path_factory.mktemp('ingress')
    more = 'body_bytes=2048\n'
    async with deployment(folder, {'stock-1': plain}, more) as nodes:
        yield nodes['stock-1']


async def counts(session, node):
    """Return what the node's account has, summed."""
    async with session.get(f'http://{node.admin}/v1/account') as reply:
        lines = (await reply.json())['account']['lines']
    return {
        'arrived': sum(line['arrived'] for line in lines),
        'running': sum(line.get('running', 0) for line in lines),
        'refused': sum(_ends(line, 'refused_by_reason') for line in lines),
        'failed': sum(_ends(line, 'failed_by_reason') for line in lines),
    }


def _ends(line, name):
    return sum(line.get(name, {}).values())


@pytest.mark.asyncio(loop_scope='module')
class TestTurnedAway:
    """What is refused before it is a call."""

    @pytest.mark.parametrize(
        ('headers', 'body', 'status', 'end'),
        [
            ({'lovageshunt-context': '{'}, b'', 400, 'refused'),
            ({}, b'x' * 4096, 413, 'refused'),
            (
                {'idempotency-key': 'a', 'lovageshunt-attempt': '99'},
                b'',
                429,
                'failed',
            ),
        ],
    )
    async def test_is_counted(self, node, headers, body, status, end):
        """It stands in the account, and is told when to come back."""
        async with aiohttp.ClientSession() as session:
            before = await counts(session, node)
            async with session.get(
                f'http://{node.ingress}/count',
                headers=headers,
                data=body,
            ) as reply:
                assert reply.status == status
                assert int(reply.headers['retry-after']) > 0
            after = await counts(session, node)

        changed = {
            name: after[name] - before[name]
            for name in after
            if after[name] != before[name]
        }
        assert changed == {'arrived': 1, end: 1}
