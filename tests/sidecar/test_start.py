"""Nodes that are ended while they start."""

import asyncio
import gc
import socket

import pytest

from tests.loopback import own_host
from tests.sidecar.world import (
    CLIENTS_PORT,
    METRICS_PORT,
    NODES_PORT,
    READY_PORT,
    new_node,
)

_PORTS = (CLIENTS_PORT, NODES_PORT, READY_PORT, METRICS_PORT)


def is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class TestStart:
    """A node that is cancelled at any step of its start."""

    @pytest.mark.parametrize('steps', range(12))
    async def test_leaves_no_listener_behind(self, steps: int) -> None:
        """Guards against addresses in use when a world of nodes opens."""
        host = own_host(120 + steps)
        node = new_node(host)
        starting = asyncio.ensure_future(node.run())
        for _ in range(steps):
            await asyncio.sleep(0)
        gc.disable()
        starting.cancel()
        await asyncio.wait((starting,))
        node.close()
        taken = [port for port in _PORTS if not is_free(host, port)]
        gc.enable()
        assert not taken
