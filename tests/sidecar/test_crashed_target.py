"""A target that crashes with calls in flight."""

import asyncio

from tests.sidecar.world import Received, World, client_of, world_of


def crash_on_request(world: World, at: int, down_seconds: float = 1) -> None:
    """Let a target crash as soon as it gets the next request."""
    target = world.targets[at]

    async def crash(received: Received) -> bytes:
        world.tasks.append(asyncio.ensure_future(target.crash(down_seconds)))
        await asyncio.sleep(1)
        raise ConnectionError

    target.serve = crash


class TestOutcome:
    """What is said of the calls that were in flight."""

    async def test_call_in_flight_at_a_crash_is_not_told_as_not_run(
        self,
    ) -> None:
        """On a connection that was used before, it ends as 502 too."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            await client.ask('/read/a')
            crash_on_request(world, 0)
            got = await client.ask('/read/b')
            assert got.line.split()[1] == '502'
