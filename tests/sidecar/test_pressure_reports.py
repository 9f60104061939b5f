"""Reports of load and demand, by way of coordinators."""

import asyncio

from lovageshunt.calls import LoadReport
from lovageshunt.links import DemandReport, TargetLoadReport
from tests.sidecar.world import (
    World,
    client_of,
    world_of,
)

_NODES = 5


def load_of(target_id: str) -> TargetLoadReport:
    return TargetLoadReport(
        target_id=target_id,
        load=LoadReport(running=1, waiting=0, limit=4, service_ms=5),
        share=1,
        sent_per_second=0,
        refused_per_second=0,
    )


def slots_at(world: World, at: int) -> float:
    admission = world.nodes[at]._reports.root_admission
    now = asyncio.get_running_loop().time()
    return admission.fleet_capacity.slots_of('s', now)


async def until_all_know(world: World, slots: float) -> None:
    async with asyncio.timeout(4):
        while {slots_at(world, at) for at in range(_NODES)} != {slots}:
            await asyncio.sleep(0.05)


class TestSums:
    """What each node knows of the whole fleet."""

    async def test_all_nodes_know_the_slots_of_the_fleet(self) -> None:
        """Five targets of four slots are twenty slots, at every node."""
        async with world_of(_NODES) as world:
            await until_all_know(world, 20)

    async def test_a_lost_coordinator_is_replaced(self) -> None:
        """Its part is in the sums of another within seconds, and once."""
        async with world_of(_NODES) as world:
            await until_all_know(world, 20)
            first = world.nodes[0].news.view.coordinators[0]
            lost = world.hosts.index(first)
            world.nodes[lost].close()
            world.tasks[lost].cancel()
            await asyncio.sleep(3)
            known = {slots_at(world, at) for at in range(_NODES) if at != lost}
            assert known == {16}

    async def test_demand_reaches_all_nodes(self) -> None:
        """Requests at one node count at the first hop of all."""
        async with world_of(_NODES) as world:
            client = await client_of(world.hosts[0])
            for at in range(20):
                await client.ask('/read/', attempt=f'a-{at}')
            await asyncio.sleep(2)
            for node in world.nodes:
                now = asyncio.get_running_loop().time()
                rates = node._reports._arrivals.rate_by_key(now)
                assert rates.get('/read/', 0) > 0


class TestCallGraph:
    """What a node learns of the calls that its target makes."""

    async def test_counts_requests_whose_kind_is_not_known(self) -> None:
        """They may turn out to be calls by the target."""
        async with world_of(1) as world:
            reports = world.nodes[0]._reports
            now = asyncio.get_running_loop().time()
            assert not reports.record_arrival('/read/', now)
            watch = world.nodes[0]._executor.meters.watch
            assert watch._windows[-1].calls_by_kind == {'/read/': 1}


class TestEarlierBuild:
    """A node of an earlier build reports to all nodes, and is in no sum."""

    async def test_its_reports_are_taken(self) -> None:
        """Its requests count, and the slots of its target."""
        async with world_of(_NODES) as world:
            await until_all_know(world, 20)
            reports = world.nodes[0]._reports
            host = world.hosts[1]
            reports.handle_demand(
                host,
                DemandReport(
                    node='old',
                    service='s',
                    seconds=0.8,
                    arrived_by_kind={'old-kind': 8},
                    seconds_by_kind={},
                    calls_by_kind_by_kind={},
                    retries_by_service={},
                    revision=1,
                    version=1,
                ),
            )
            reports.handle_load(host, load_of('i-1'))
            now = asyncio.get_running_loop().time()
            assert reports._arrivals.rate_by_key(now)['old-kind'] > 0
            assert slots_at(world, 0) == 24

    async def test_a_load_alone_is_no_capacity(self) -> None:
        """The slots of a node of this build are in the sums only."""
        async with world_of(_NODES) as world:
            await until_all_know(world, 20)
            world.nodes[0]._reports.handle_load(world.hosts[1], load_of('i-1'))
            assert slots_at(world, 0) == 20
