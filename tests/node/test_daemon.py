"""Shutdown of a node by signals while a call is in progress."""

import asyncio
import logging
from signal import SIGTERM, raise_signal

import aiohttp
import pytest

from lovageshunt.node import NodeDaemon
from lovageshunt.node.admin._servers import ServerTls, make_server
from lovageshunt.settings import load_node_settings
from tests.node.parts import NodeParts, answer, read_body, serving


class Hanging:
    """An ASGI target that never responds to calls."""

    def __init__(self):
        self.called = asyncio.Event()

    async def __call__(self, scope, receive, send):
        """Wait until the node disconnects."""
        if scope['path'] in ('/health', '/load'):
            await answer(send, 404)
            return
        await read_body(receive)
        self.called.set()
        await receive()


async def stopped(folder, drain_seconds, signals):
    """Send a call that hangs, then the signals; return the exit code."""
    node = NodeParts('shop-1')
    path = folder / 'node.ini'
    text = node.settings('127.0.0.1:1', '')
    path.write_text(
        text.replace('drain_seconds=1', f'drain_seconds={drain_seconds}'),
        encoding='utf-8',
    )
    target = Hanging()
    server = make_server(target, node.target, ServerTls(), 1)
    async with serving(server), aiohttp.ClientSession() as session:
        daemon = NodeDaemon(load_node_settings(path).ok, int)
        run_task = asyncio.create_task(daemon.run())
        request_task = asyncio.create_task(ask(session, node.ingress))
        await target.called.wait()
        for _ in range(signals):
            raise_signal(SIGTERM)
            await asyncio.sleep(0.05)
        async with asyncio.timeout(10):
            code = await run_task
        request_task.cancel()
    return code


async def ask(session, address):
    """Send a request, retrying until the node accepts connections."""
    headers = {
        'idempotency-key': 'cut-1',
        'lovageshunt-timeout-ms': '100000',
    }
    while True:
        try:
            await session.get(f'http://{address}/basket', headers=headers)
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(0.05)
        except aiohttp.ClientError:
            return


@pytest.mark.asyncio
class TestNodeDaemon:
    """``NodeDaemon``."""

    async def test_second_signal(self, tmp_path, caplog):
        """A second signal stops the node at once and logs aborted requests."""
        with caplog.at_level(logging.WARNING):
            code = await stopped(tmp_path, drain_seconds=60, signals=2)

        assert code == 1
        assert 'aborts 1 calls in progress, of requests cut-1' in caplog.text

    async def test_end_of_drain(self, tmp_path, caplog):
        """A drain that times out ends and logs the aborted requests."""
        with caplog.at_level(logging.WARNING):
            code = await stopped(tmp_path, drain_seconds=1, signals=1)

        assert code == 1
        assert 'aborts 1 calls in progress, of requests cut-1' in caplog.text
