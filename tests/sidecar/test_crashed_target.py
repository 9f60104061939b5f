"""A target that crashes with calls in flight."""

import asyncio
from logging import INFO

import pytest

from lovageshunt.errors import MalformedFrameError
from lovageshunt.links import OutageNotice, decode_outage, encode_message
from tests.sidecar.fake_target import Received
from tests.sidecar.world import (
    Client,
    World,
    client_of,
    world_of,
)


def crash_on_request(world: World, at: int, down_seconds: float = 1) -> None:
    """Let a target crash as soon as it gets the next request."""
    target = world.targets[at]

    async def crash(received: Received) -> bytes:
        world.tasks.append(asyncio.ensure_future(target.crash(down_seconds)))
        await asyncio.sleep(1)
        raise ConnectionError

    target.serve = crash


async def remote_client(world: World) -> Client:
    """Connect to the first node, whose targets are at the other nodes."""
    for node in world.nodes:
        node.fleet_state.apply_targets(world.entries()[1:], 2)
    return await client_of(world.hosts[0])


async def crash(world: World, at: int, down_seconds: float) -> None:
    """Let a target crash with a call from its own node in flight."""
    crash_on_request(world, at, down_seconds)
    client = await client_of(world.hosts[at])
    await client.ask('/read/first')
    world.targets[at].serve = world.targets[at].serve_normally


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


class TestPlacement:
    """Where calls go while a target is down."""

    async def test_no_call_is_sent_to_a_target_that_is_down(
        self,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """All nodes know it from the one beside the target."""
        async with world_of(3) as world:
            client = await remote_client(world)
            await crash(world, 1, down_seconds=2)
            await asyncio.sleep(0.1)
            caplog.set_level(INFO)
            for _ in range(60):
                assert (await client.ask('/read/a')).line.split()[1] == '200'
            assert 'retrying at another target' not in caplog.messages

    async def test_first_accepted_connection_ends_the_outage(self) -> None:
        """Another node counts on the target again once it is back."""
        async with world_of(3) as world:
            await remote_client(world)
            fleet = world.nodes[2]._fleet
            await crash(world, 1, down_seconds=0.6)
            async with asyncio.timeout(5):
                while fleet.has_spare():
                    await asyncio.sleep(0.01)
                while not fleet.has_spare():
                    await asyncio.sleep(0.01)
            assert world.targets[1].is_up

    async def test_news_of_an_outage_lapses(self) -> None:
        """A node that hears no more of it uses the target again."""
        async with world_of(3) as world:
            await remote_client(world)
            fleet = world.nodes[2]._fleet
            fleet.note_outage(OutageNotice(target_id='i-1', seconds=0.1))
            assert not fleet.has_spare()
            await asyncio.sleep(0.2)
            assert fleet.has_spare()


class TestOutageNotice:
    """The message that a target is down."""

    def test_is_read_as_it_was_written(self) -> None:
        """With the time that it holds."""
        notice = OutageNotice(target_id='i', seconds=0.5)
        assert decode_outage(encode_message(notice)) == notice

    @pytest.mark.parametrize(
        'payload', [b'', b'[]', b'{}', b'{"target_id":"i","seconds":"x"}']
    )
    def test_malformed_one_closes_the_link(self, payload: bytes) -> None:
        """It is told apart from a fault of this node."""
        with pytest.raises(MalformedFrameError):
            decode_outage(payload)
