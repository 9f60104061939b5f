"""The workloads: offered load and fault injection of each run."""

from collections.abc import Callable
from functools import partial

from bench._clients import AGGRESSIVE, COOPERATIVE, ClientPolicy, LoadGenerator
from bench._network import Network
from bench._systems import System
from lovageshunt._record import Record

#: Load before and after a trigger, as a fraction of capacity.
_NORMAL_LOAD = 0.8
_SLOW_FACTOR = 10
_SURGE_LOAD = 3

Trigger = Callable[[Network, System, LoadGenerator], None]


class Workload(Record):
    """An offered load and a temporary trigger, such as a fault or a surge.

    ``load`` is a fraction of capacity. The trigger lasts from
    ``trigger_start_seconds`` to ``trigger_end_seconds``, the run until
    ``run_seconds``. Goodput covers requests created from
    ``measure_from_seconds`` to ``measure_until_seconds``, when the bottleneck
    runs at ``bottleneck_speed_share`` of its speed. ``published_share`` is the
    ratio of the slots that the platform publishes to the true slots.
    """

    __slots__ = (
        'name',
        'load',
        'policy',
        'trigger_start_seconds',
        'trigger_end_seconds',
        'run_seconds',
        'measure_from_seconds',
        'measure_until_seconds',
        'bottleneck_speed_share',
        'published_share',
        'start_trigger',
        'stop_trigger',
    )

    def __init__(
        self,
        name: str,
        *,
        load: float,
        policy: ClientPolicy,
        trigger_start_seconds: float,
        trigger_end_seconds: float,
        run_seconds: float,
        measure_from_seconds: float,
        measure_until_seconds: float,
        start_trigger: Trigger,
        stop_trigger: Trigger,
        bottleneck_speed_share: float = 1,
        published_share: float = 1,
    ) -> None:
        self.bottleneck_speed_share = bottleneck_speed_share
        self.published_share = published_share
        self.name = name
        self.load = load
        self.policy = policy
        self.trigger_start_seconds = trigger_start_seconds
        self.trigger_end_seconds = trigger_end_seconds
        self.run_seconds = run_seconds
        self.measure_from_seconds = measure_from_seconds
        self.measure_until_seconds = measure_until_seconds
        self.start_trigger = start_trigger
        self.stop_trigger = stop_trigger

    @property
    def measures_recovery(self) -> bool:
        """Whether the trigger ends before the run does."""
        return self.trigger_end_seconds < self.run_seconds


def _steady(
    name: str,
    load: float,
    policy: ClientPolicy,
    *,
    published_share: float = 1,
) -> Workload:
    return Workload(
        name,
        load=load,
        policy=policy,
        trigger_start_seconds=0,
        trigger_end_seconds=17,
        run_seconds=17,
        measure_from_seconds=5,
        measure_until_seconds=10,
        start_trigger=_do_nothing,
        stop_trigger=_do_nothing,
        published_share=published_share,
    )


def _with_trigger(
    name: str,
    seconds: float,
    policy: ClientPolicy,
    *,
    start_trigger: Trigger,
    stop_trigger: Trigger,
    bottleneck_speed_share: float = 1,
) -> Workload:
    return Workload(
        name,
        load=_NORMAL_LOAD,
        policy=policy,
        trigger_start_seconds=5,
        trigger_end_seconds=5 + seconds,
        run_seconds=5 + seconds + 20,
        measure_from_seconds=5,
        measure_until_seconds=5 + seconds,
        start_trigger=start_trigger,
        stop_trigger=stop_trigger,
        bottleneck_speed_share=bottleneck_speed_share,
    )


def _do_nothing(
    network: Network, system: System, generator: LoadGenerator
) -> None:
    """Stand in for the trigger of a steady workload."""


def _set_speed(
    factor: float,
    network: Network,
    system: System,
    generator: LoadGenerator,
) -> None:
    for target in system.targets[network.deployment.bottleneck]:
        target.slow_factor = factor


def _set_one_speed(
    factor: float,
    network: Network,
    system: System,
    generator: LoadGenerator,
) -> None:
    system.targets[network.deployment.bottleneck][0].slow_factor = factor


def _set_one_broken(
    is_broken: bool,
    network: Network,
    system: System,
    generator: LoadGenerator,
) -> None:
    system.targets[network.deployment.bottleneck][0].is_broken = is_broken


def _set_load(
    load: float,
    network: Network,
    system: System,
    generator: LoadGenerator,
) -> None:
    generator.rate = load * network.deployment.capacity


def _set_partition(
    failure_domain: str,
    network: Network,
    system: System,
    generator: LoadGenerator,
) -> None:
    network.partitioned_domain = failure_domain


WORKLOADS = (
    _steady('1x', 1, COOPERATIVE),
    _steady('2x', 2, COOPERATIVE),
    _steady('2x, hard retries', 2, AGGRESSIVE),
    _steady('4x', 4, COOPERATIVE),
    _steady('4x, hard retries', 4, AGGRESSIVE),
    _steady(
        '2x, half the slots published', 2, COOPERATIVE, published_share=0.5
    ),
    _steady('2x, twice the slots published', 2, COOPERATIVE, published_share=2),
    _with_trigger(
        'deep service x10 slow, 20 s',
        20,
        COOPERATIVE,
        start_trigger=partial(_set_speed, _SLOW_FACTOR),
        stop_trigger=partial(_set_speed, 1),
        bottleneck_speed_share=1 / _SLOW_FACTOR,
    ),
    _with_trigger(
        'surge x3, hard retries, 5 s',
        5,
        AGGRESSIVE,
        start_trigger=partial(_set_load, _SURGE_LOAD),
        stop_trigger=partial(_set_load, _NORMAL_LOAD),
    ),
    _with_trigger(
        'one failure domain cut, 10 s',
        10,
        COOPERATIVE,
        start_trigger=partial(_set_partition, 'fd3'),
        stop_trigger=partial(_set_partition, ''),
    ),
    _with_trigger(
        'one deep target x5 slow, 10 s',
        10,
        COOPERATIVE,
        start_trigger=partial(_set_one_speed, 5),
        stop_trigger=partial(_set_one_speed, 1),
        bottleneck_speed_share=(2 + 1 / 5) / 3,
    ),
    _with_trigger(
        'one deep target fails fast, 10 s',
        10,
        COOPERATIVE,
        start_trigger=partial(_set_one_broken, True),
        stop_trigger=partial(_set_one_broken, False),
        bottleneck_speed_share=2 / 3,
    ),
)
