"""The faults that are injected into the fleet during a run."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from bench.run_once._machine import Machine
from bench.run_once._timed import TimedFleet

_LIST_LAG_SECONDS: Final = 2.0
_START_SECONDS: Final = 5.0


class Environment:
    """A fleet and the node list as its callers read it, with a lag.

    ``homes`` is the list that callers currently use.
    """

    def __init__(self, fleet: TimedFleet, size: int) -> None:
        """Start ``size`` nodes that are settled and list one another."""
        self.fleet = fleet
        for at in range(size):
            fleet.start(f'n{at}', is_old=True)
        fleet.publish()
        self._refresh_lists()
        self.homes = list(fleet.published)

    @property
    def victim(self) -> Machine:
        """The node that the fault affects."""
        return next(iter(self.fleet.by_name.values()))

    def publish_later(self, seconds: float) -> None:
        """Publish the list after ``seconds``; it is read after the lag."""
        self.fleet.schedule(seconds, self.fleet.publish)
        self.fleet.schedule(seconds + _LIST_LAG_SECONDS, self._refresh_lists)

    def _refresh_lists(self) -> None:
        awake = [
            machine
            for machine in self.fleet.by_name.values()
            if machine.frozen_at is None
        ]
        for machine in awake:
            machine.read(self.fleet.published, self.fleet.now)
        for unsettled in awake:
            self.fleet.settle(unsettled)
        self.homes = list(self.fleet.published)


def _inject_none(environment: Environment) -> None:
    """Inject no fault."""


def _start_later(environment: Environment, name: str) -> None:
    environment.fleet.schedule(
        _START_SECONDS, lambda: _start(environment, name)
    )


def _start(environment: Environment, name: str) -> None:
    environment.fleet.start(name)
    environment.publish_later(0)


def _lose_vm(environment: Environment) -> None:
    victim = environment.victim
    environment.fleet.kill(victim)
    _start_later(environment, victim.home.node)


def _stop_as_planned(environment: Environment) -> None:
    victim = environment.victim
    environment.fleet.drain(victim)
    environment.publish_later(0)
    _start_later(environment, victim.home.node)


def _freeze(environment: Environment) -> None:
    victim = environment.victim
    environment.fleet.freeze(victim)
    environment.fleet.schedule(
        _START_SECONDS, lambda: environment.fleet.thaw(victim)
    )


def _isolate(environment: Environment) -> None:
    victim = environment.victim
    victim.partition = 1
    environment.fleet.schedule(20, lambda: _heal(victim))


def _heal(victim: Machine) -> None:
    victim.partition = 0


def _lose_vm_with_stale_list(environment: Environment) -> None:
    """Replace a VM under another name; the list is stale for 20 seconds."""
    environment.fleet.kill(environment.victim)
    environment.fleet.schedule(
        _START_SECONDS, lambda: environment.fleet.start('late')
    )
    environment.publish_later(20)


_Fault = Callable[[Environment], None]
FAULTS: Final[Mapping[str, _Fault]] = MappingProxyType(
    {
        'none': _inject_none,
        'VM lost, replaced': _lose_vm,
        'planned stop': _stop_as_planned,
        'frozen 5 s': _freeze,
        'cut off 20 s': _isolate,
        'list stale 20 s': _lose_vm_with_stale_list,
    }
)
