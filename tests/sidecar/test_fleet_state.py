"""The order of target lists from the platform and from other nodes."""

from lovageshunt.links import Greeting, encode_message
from lovageshunt.sidecar import position_of
from tests.sidecar.world import (
    World,
    world_of,
)


def listed(world: World) -> int:
    """Return how many targets the first node lists."""
    return len(world.nodes[0].fleet_state.snapshot().entries)


class TestTargetLists:
    """Which of two lists is in force."""

    async def test_an_older_list_does_not_replace_a_newer_one(self) -> None:
        """A node's own old list is ignored after a newer one of a peer."""
        async with world_of(2) as world:
            fleet_state = world.nodes[0].fleet_state
            fleet_state.apply_targets(world.entries(), position_of(1, 9))
            fleet_state.apply_targets([], position_of(1, 8))
            assert listed(world) == 2

    async def test_positions_in_a_late_era_can_be_sent_to_nodes(self) -> None:
        """However large the number is that the platform begins with."""
        era = 1_764_000_000
        first, second, third = (
            position_of(era, 7),
            position_of(era, 8),
            position_of(era + 1, 1),
        )
        assert first < second < third
        greeting = Greeting(
            node='n', service='s', incarnation='i', revision=third
        )
        assert str(third).encode() in encode_message(greeting)

    async def test_a_new_era_replaces_a_higher_revision(self) -> None:
        """After the platform returned from a copy, its list is the newer."""
        async with world_of(2) as world:
            fleet_state = world.nodes[0].fleet_state
            fleet_state.apply_targets(world.entries(), position_of(1, 9))
            fleet_state.apply_targets(world.entries()[:1], position_of(2, 3))
            assert listed(world) == 1
            fleet_state.apply_targets(world.entries(), position_of(1, 10))
            assert listed(world) == 1
