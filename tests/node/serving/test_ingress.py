"""Requests that a running node rejects before they become calls."""

import aiohttp
import pytest
import pytest_asyncio

from tests.node.parts import answer, deployment, read_body


async def plain(scope, receive, send):
    """Respond with 200 to every request."""
    await read_body(receive)
    await answer(send)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def node(tmp_path_factory):
    """Run one node with a body limit of 2048 bytes."""
    folder = tmp_path_factory.mktemp('ingress')
    more = 'body_bytes=2048\n'
    async with deployment(folder, {'stock-1': plain}, more) as nodes:
        yield nodes['stock-1']


async def counts(session, node):
    """Return the counts in the account of the node, summed over lines."""
    async with session.get(f'http://{node.admin}/v1/account') as reply:
        lines = (await reply.json())['account']['lines']
    return {
        'arrived': sum(line['arrived'] for line in lines),
        'running': sum(line.get('running', 0) for line in lines),
        'refused': sum(_sum_of(line, 'refused_by_reason') for line in lines),
        'failed': sum(_sum_of(line, 'failed_by_reason') for line in lines),
    }


def _sum_of(line, name):
    return sum(line.get(name, {}).values())


@pytest.mark.asyncio(loop_scope='module')
class TestRejected:
    """Requests that are malformed, too large or beyond the retry bound."""

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
        """A rejection is counted in the account and has Retry-After."""
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
