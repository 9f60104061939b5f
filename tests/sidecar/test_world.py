"""The test world itself: what it leaves behind."""

import asyncio

from tests.sidecar.fake_target import TARGET_PORT
from tests.sidecar.world import (
    CLIENTS_PORT,
    world_of,
)


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


class TestCrashes:
    """Targets that are down when the world is closed."""

    async def test_target_does_not_come_back_after_its_world(self) -> None:
        """Nothing listens at its address, though its crash is over."""
        async with world_of(1) as world:
            host = world.hosts[0]
            crash = asyncio.ensure_future(world.targets[0].crash(0.1))
            await asyncio.sleep(0)
        await crash
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, host, TARGET_PORT)
        server.close()
