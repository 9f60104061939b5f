"""A target that names a limit of calls, with nodes that send to it."""

import asyncio

from tests.sidecar.fake_target import Received, answer
from tests.sidecar.world import (
    Client,
    World,
    client_of,
    world_of,
)

_PER_SECOND = 4
_SECONDS = 2
#: What a target that names the limit may get within 4 s.
_ALLOWED = 1.5 * _PER_SECOND * 4 + 5


async def limits(received: Received) -> bytes:
    """Answer as a target that takes four calls a second."""
    return answer(received, extra=f'X-Limit: {_PER_SECOND}.0\r\n')


async def limited_client(world: World, at: int) -> Client:
    """Connect to a node that sends to the last target only."""
    fleet_state = world.nodes[at].fleet_state
    fleet_state.is_platform_unreachable = False
    fleet_state.apply_targets(world.entries()[-1:], 2)
    return await client_of(world.hosts[at])


async def press(client: Client) -> list[str]:
    """Send requests without pause for two seconds; return status lines."""
    ends_at = asyncio.get_running_loop().time() + _SECONDS
    lines = []
    while asyncio.get_running_loop().time() < ends_at:
        lines.append((await client.ask('/read/a')).line)
        await asyncio.sleep(0.02)
    return lines


class TestRateLimit:
    """The limit holds for all nodes together."""

    async def test_two_nodes_send_no_more_than_a_target_names(self) -> None:
        """Two origins that press for 2 s stay below what 4 s allow."""
        async with world_of(3) as world:
            target = world.targets[2]
            target.serve = limits
            clients = [await limited_client(world, at) for at in (0, 1)]
            await asyncio.gather(*(press(client) for client in clients))
            assert 2 <= len(target.received) <= _ALLOWED

    async def test_what_exceeds_the_limit_runs_at_another_target(self) -> None:
        """Every request is served while the other target has room."""
        async with world_of(3) as world:
            world.targets[1].serve = limits
            fleet_state = world.nodes[0].fleet_state
            fleet_state.is_platform_unreachable = False
            fleet_state.apply_targets(world.entries()[1:], 2)
            client = await client_of(world.hosts[0])
            assert set(await press(client)) == {'HTTP/1.1 200 OK'}
            assert len(world.targets[1].received) <= _ALLOWED
