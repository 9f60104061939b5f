"""A node that is stopped as planned, and what its clients get."""

import asyncio
from typing import cast

import pytest

from lovageshunt.http1 import (
    OpenConnections,
    Request,
    ServerConnection,
    ServerLimits,
)
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._origin import Origin
from lovageshunt.sidecar._planned_stop import PlannedStop
from tests.http1.wire import FakeTransport
from tests.sidecar.fake_target import FakeTarget, Received, answer
from tests.sidecar.world import (
    World,
    client_of,
    encode,
    status_of,
    wait_until,
    world_of,
)

PLANNED_STOP = 'lovageshunt.sidecar._planned_stop.'


class NoHandler:
    """Handles no requests."""

    def handle(self, request: Request, connection: ServerConnection) -> None:
        """Not called: the clients send nothing."""

    def abandon(self, token: object) -> None:
        """Not called either."""


@pytest.fixture
def short_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give a planned shutdown 0.3 s for the requests in progress."""
    monkeypatch.setattr(f'{PLANNED_STOP}_MIN_LINGER_SECONDS', 0.1)
    monkeypatch.setattr(f'{PLANNED_STOP}_LAST_RESPONSES_SECONDS', 5.7)


def hanging_target(world: World, at: int) -> FakeTarget:
    """Publish one target only, which never responds."""
    target = world.targets[at]

    async def hang(received: Received) -> bytes:
        await asyncio.sleep(60)
        return answer(received)

    target.serve = hang
    for node in world.nodes:
        node.fleet_state.apply_targets(world.entries()[at : at + 1], 2)
    return target


class TestPlannedStop:
    """Requests before, during and at the end of a planned shutdown."""

    async def test_finishes_accepted_requests_when_stopped(self) -> None:
        """A planned shutdown answers, then closes the connection."""
        async with world_of(1) as world:
            target = world.targets[0]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received)

            target.serve = slow
            client = await client_of(world.hosts[0])
            client.send('/read/a')
            await wait_until(lambda: target.received)
            world.nodes[0].stop()
            assert not world.nodes[0].is_ready
            await asyncio.sleep(0.1)
            go_on.set()
            got = await client.read()
            assert status_of(got) == 200
            assert got.headers['connection'] == 'close'

    async def test_refuses_requests_that_outlast_its_stop(
        self,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A request too long for the shutdown gets a 503 (not run).

        Accepted ones, and ones that end in time, are answered.
        """
        module = 'lovageshunt.sidecar._planned_stop.'
        monkeypatch.setattr(f'{module}_ACCEPT_ALL_SECONDS', 0.1)
        # Of the six seconds of a shutdown, requests have one and a half.
        monkeypatch.setattr(f'{module}_LAST_RESPONSES_SECONDS', 4.5)
        async with world_of(1) as world:
            target = world.targets[0]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received)

            target.serve = slow
            early = await client_of(world.hosts[0])
            early.send('/read/a')
            await wait_until(lambda: target.received)
            world.nodes[0].stop()
            await asyncio.sleep(0.3)
            late = await client_of(world.hosts[0])
            got = await late.ask('/read/b', left_ms=1800)
            assert status_of(got) == 503
            assert float(got.headers['retry-after']) > 0
            in_time = await client_of(world.hosts[0])
            in_time.send('/read/c', left_ms=700)
            await wait_until(lambda: len(target.received) == 2)
            go_on.set()
            for client in (early, in_time):
                assert status_of(await client.read()) == 200
            ran = [each.attempt for each in target.received]
            assert ran == ['/read/a', '/read/c']

    async def test_is_avoided_when_it_stops(self) -> None:
        """Other nodes send no calls to a node that shuts down."""
        async with world_of(3) as world:
            for node in world.nodes:
                node.fleet_state.apply_targets(world.entries()[1:], 2)
            world.nodes[1].stop()
            await asyncio.sleep(0.1)
            client = await client_of(world.hosts[0])
            for _ in range(5):
                got = await client.ask('/read/a')
                assert got.body == world.hosts[2].encode()


class IdleNode:
    """A node without requests in progress, and one client that reads slowly."""

    def __init__(self) -> None:
        self.open_count = 0
        self.is_empty = True
        self.transport = FakeTransport()
        self.clients: OpenConnections[ServerConnection] = OpenConnections()
        client = ServerConnection(NoHandler(), ServerLimits(), self.clients)
        client.connection_made(self.transport)

    def stop(self, **times: float) -> None:
        """There is nothing to stop."""

    def drain(self) -> None:
        """There is no queue."""

    def close(self) -> None:
        """There is nothing to close."""

    def planned_stop(self) -> PlannedStop:
        return PlannedStop(
            origin=cast(Origin, self),
            executor=cast(Executor, self),
            clients=self.clients,
            tick=self.close,
            close=self.close,
        )


class TestSlowReader:
    """A client that is still reading its response when its node stops."""

    async def test_gets_the_rest_of_its_response(
        self, short_stop: None
    ) -> None:
        """The shutdown lasts until the response has been sent.

        Guards against LOST: the process ended with a part of the response.
        """
        node = IdleNode()
        node.transport.unsent_bytes = 1000
        stopping = asyncio.ensure_future(node.planned_stop().run(20))
        await asyncio.sleep(0.4)
        assert not stopping.done()
        node.transport.unsent_bytes = 0
        await asyncio.wait_for(stopping, 0.3)

    async def test_does_not_hold_up_the_end(self, short_stop: None) -> None:
        """With a client that never reads, a shutdown ends in its time."""
        node = IdleNode()
        node.transport.unsent_bytes = 1000
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        stop_seconds = 6
        await node.planned_stop().run(stop_seconds)
        assert loop.time() - started_at < stop_seconds


class TestEndOfPlannedStop:
    """What is still in progress when the time of a shutdown is over."""

    @pytest.mark.parametrize('path', ['/read/a', '/buy/a'])
    @pytest.mark.parametrize('target_at', [0, 1])
    async def test_answers_what_its_stop_ends(
        self, path: str, target_at: int, short_stop: None
    ) -> None:
        """A request in progress at the end of a shutdown gets a 502 by then.

        Guards against LOST: the process ended without an answer to it.
        """
        async with world_of(2) as world:
            target = hanging_target(world, target_at)
            client = await client_of(world.hosts[0])
            client.send(path, left_ms=2000)
            await wait_until(lambda: target.received)
            world.nodes[0].stop()
            await wait_until(world.tasks[0].done)
            async with asyncio.timeout(0.2):
                got = await client.read()
            assert status_of(got) == 502
            assert float(got.headers['retry-after']) > 0

    async def test_tells_other_nodes_what_its_stop_ends(
        self, short_stop: None
    ) -> None:
        """Other nodes hear at once that a purchase's outcome is unknown."""
        async with world_of(2) as world:
            target = hanging_target(world, 1)
            client = await client_of(world.hosts[0])
            client.send('/buy/a', left_ms=2000)
            await wait_until(lambda: target.received)
            world.nodes[1].stop()
            async with asyncio.timeout(1):
                assert status_of(await client.read()) == 502

    async def test_passes_nothing_on_after_its_stop(
        self, short_stop: None
    ) -> None:
        """A request that is read when the shutdown has ended gets a 503.

        Guards against LOST: it would be cut as the process ends.
        """
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            request = encode('/buy/a')
            client.writer.write(request[:10])
            await asyncio.sleep(0.05)
            world.nodes[0].stop()
            await wait_until(world.tasks[0].done)
            client.writer.write(request[10:])
            assert status_of(await client.read()) == 503
            assert not world.targets[0].received
