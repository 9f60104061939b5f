"""What happens to the fleet in the middle of a run."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from bench.run_once._machine import Machine
from bench.run_once._timed import TimedFleet

_LIST_LAG_SECONDS: Final = 2.0
_START_SECONDS: Final = 5.0


class World:
    """The fleet, and the list as its callers read it, with a lag."""

    def __init__(self, fleet: TimedFleet, size: int) -> None:
        """Start old nodes that know one another."""
        self.fleet = fleet
        for at in range(size):
            fleet.start(f'n{at}', is_old=True)
        fleet.publish()
        self._learn()
        self.homes = list(fleet.published)

    @property
    def victim(self) -> Machine:
        """Return the node that is hit."""
        return next(iter(self.fleet.by_name.values()))

    def publish_later(self, seconds: float) -> None:
        """Publish the list; nodes and callers read it a while later."""
        self.fleet.after(seconds, self.fleet.publish)
        self.fleet.after(seconds + _LIST_LAG_SECONDS, self._learn)

    def _learn(self) -> None:
        awake = [
            machine
            for machine in self.fleet.by_name.values()
            if machine.frozen_at is None
        ]
        for machine in awake:
            machine.read(self.fleet.published, self.fleet.now)
        for settling in awake:
            self.fleet.settle(settling)
        self.homes = list(self.fleet.published)


def _nothing(world: World) -> None:
    """Leave the fleet alone."""


def _start_later(world: World, name: str) -> None:
    world.fleet.after(_START_SECONDS, lambda: _start(world, name))


def _start(world: World, name: str) -> None:
    world.fleet.start(name)
    world.publish_later(0)


def _lose(world: World) -> None:
    victim = world.victim
    world.fleet.kill(victim)
    _start_later(world, victim.home.node)


def _stop(world: World) -> None:
    victim = world.victim
    world.fleet.drain(victim)
    world.publish_later(0)
    _start_later(world, victim.home.node)


def _freeze(world: World) -> None:
    victim = world.victim
    world.fleet.freeze(victim)
    world.fleet.after(_START_SECONDS, lambda: world.fleet.thaw(victim))


def _cut(world: World) -> None:
    victim = world.victim
    victim.partition = 1
    world.fleet.after(20, lambda: _heal(victim))


def _heal(victim: Machine) -> None:
    victim.partition = 0


def _lose_unlisted(world: World) -> None:
    """Lose a VM for another name while the list stays old for 20 seconds."""
    world.fleet.kill(world.victim)
    world.fleet.after(_START_SECONDS, lambda: world.fleet.start('late'))
    world.publish_later(20)


_Fault = Callable[[World], None]
FAULTS: Final[Mapping[str, _Fault]] = MappingProxyType(
    {
        'none': _nothing,
        'VM lost, replaced': _lose,
        'planned stop': _stop,
        'frozen 5 s': _freeze,
        'cut off 20 s': _cut,
        'list stale 20 s': _lose_unlisted,
    }
)
