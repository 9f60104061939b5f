"""The test world itself: what it leaves behind."""

import asyncio

from tests.sidecar.world import CLIENTS_PORT, world_of


class TestRestarts:
    """Nodes that are replaced while others are."""

    async def test_restarts_at_once_leave_no_listener(self) -> None:
        """After the world is closed, nothing listens at its addresses."""
        async with world_of(2) as world:
            await asyncio.gather(*(world.restart_node(0) for _ in range(3)))
            host = world.hosts[0]
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, host, CLIENTS_PORT)
        server.close()
