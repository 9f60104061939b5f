"""Targets that leave: no call is sent to them once any node knows."""

import asyncio

from lovageshunt.sidecar import TargetEntry
from tests.sidecar.fake_target import Received, answer
from tests.sidecar.world import (
    Client,
    World,
    client_of,
    world_of,
)

_SERVED = 'HTTP/1.1 200 OK'
_REFUSED = 'HTTP/1.1 503 Service Unavailable'


def second_entry(world: World, *, is_leaving: bool) -> list[TargetEntry]:
    """Return a list of the second target alone."""
    entry = world.entries()[1]
    entry.is_leaving = is_leaving
    return [entry]


async def origin_client(world: World) -> Client:
    """Connect to the first node, which lists the second target as ready."""
    fleet_state = world.nodes[0].fleet_state
    fleet_state.is_platform_unreachable = False
    fleet_state.apply_targets(second_entry(world, is_leaving=False), 2)
    return await client_of(world.hosts[0])


async def leaves(received: Received) -> bytes:
    """Answer as a target that leaves."""
    return answer(received, extra='X-Leaving: 1\r\n')


class TestLeavingTargets:
    """Which targets get calls after one has said that it leaves."""

    async def test_its_node_passes_on_no_call_of_a_node_without_the_news(
        self,
    ) -> None:
        """The node beside a leaving target refuses calls as not run."""
        async with world_of(2) as world:
            client = await origin_client(world)
            known = second_entry(world, is_leaving=True)
            world.nodes[1].fleet_state.apply_targets(known, 3)
            assert (await client.ask('/buy/a', body=b'x')).line == _REFUSED
            assert not world.targets[1].received

    async def test_a_call_for_a_leaving_target_runs_at_another(self) -> None:
        """The refusal sends a call to a target that stays."""
        async with world_of(3) as world:
            client = await origin_client(world)
            fleet_state = world.nodes[0].fleet_state
            fleet_state.apply_targets(world.entries()[1:], 3)
            known = second_entry(world, is_leaving=True)
            world.nodes[1].fleet_state.apply_targets(known, 3)
            for _ in range(12):
                got = await client.ask('/buy/a', body=b'x')
                assert got.line == _SERVED
            assert not world.targets[1].received

    async def test_an_older_list_does_not_take_the_news_back(self) -> None:
        """A leaving target that is listed as ready again gets no calls."""
        async with world_of(2) as world:
            client = await origin_client(world)
            fleet_state = world.nodes[0].fleet_state
            fleet_state.apply_targets(second_entry(world, is_leaving=True), 3)
            fleet_state.apply_targets(second_entry(world, is_leaving=False), 3)
            assert (await client.ask('/read/a')).line == _REFUSED
            assert not world.targets[1].received

    async def test_a_target_that_says_so_in_an_answer_gets_no_more(
        self,
    ) -> None:
        """The answer with the field is delivered, and is the last one."""
        async with world_of(2) as world:
            world.targets[1].serve = leaves
            client = await origin_client(world)
            assert (await client.ask('/read/a')).line == _SERVED
            assert (await client.ask('/read/b')).line == _REFUSED
            assert len(world.targets[1].received) == 1

    async def test_other_nodes_hear_what_an_answer_says(self) -> None:
        """A node that did not see the answer sends no calls either."""
        async with world_of(2) as world:
            world.targets[1].serve = leaves
            client = await origin_client(world)
            fleet_state = world.nodes[1].fleet_state
            fleet_state.apply_targets(second_entry(world, is_leaving=False), 2)
            near = await client_of(world.hosts[1])
            assert (await near.ask('/read/a')).line == _SERVED
            await asyncio.sleep(0.1)
            assert (await client.ask('/read/b')).line == _REFUSED
            assert len(world.targets[1].received) == 1
