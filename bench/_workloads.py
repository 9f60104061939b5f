"""What happens to a deployment in each run."""

from collections.abc import Callable
from functools import partial

from bench._network import Network
from bench._people import HARD, PATIENT, Crowd, Manner
from bench._systems import System
from lovageshunt._record import Record

#: The load before and after a trigger, as a share of capacity.
_USUAL_LOAD = 0.8
_SLOW_FACTOR = 10
_SURGE_LOAD = 3

Trigger = Callable[[Network, System, Crowd], None]


class Workload(Record):
    """A load, and for a while a trigger.

    ``load`` is a share of capacity; the trigger holds from
    ``starts_seconds`` to ``ends_seconds``. The run ends at ``run_seconds``.
    Goodput is taken of requests born between ``from_seconds`` and
    ``to_seconds``, when the deep service has ``deep_share`` of its speed.
    ``published_share`` is what the platform publishes of the true slots.
    """

    __slots__ = (
        'name',
        'load',
        'manner',
        'starts_seconds',
        'ends_seconds',
        'run_seconds',
        'from_seconds',
        'to_seconds',
        'deep_share',
        'published_share',
        'begin',
        'end',
    )

    def __init__(
        self,
        name: str,
        *,
        load: float,
        manner: Manner,
        starts_seconds: float,
        ends_seconds: float,
        run_seconds: float,
        from_seconds: float,
        to_seconds: float,
        begin: Trigger,
        end: Trigger,
        deep_share: float = 1,
        published_share: float = 1,
    ) -> None:
        """Take every field by name."""
        self.deep_share = deep_share
        self.published_share = published_share
        self.name = name
        self.load = load
        self.manner = manner
        self.starts_seconds = starts_seconds
        self.ends_seconds = ends_seconds
        self.run_seconds = run_seconds
        self.from_seconds = from_seconds
        self.to_seconds = to_seconds
        self.begin = begin
        self.end = end

    @property
    def has_trigger(self) -> bool:
        """Tell whether recovery can be measured."""
        return self.ends_seconds < self.run_seconds


def _steady(
    name: str,
    load: float,
    manner: Manner,
    *,
    published_share: float = 1,
) -> Workload:
    return Workload(
        name,
        load=load,
        manner=manner,
        starts_seconds=0,
        ends_seconds=17,
        run_seconds=17,
        from_seconds=5,
        to_seconds=10,
        begin=_nothing,
        end=_nothing,
        published_share=published_share,
    )


def _passing(
    name: str,
    seconds: float,
    manner: Manner,
    *,
    begin: Trigger,
    end: Trigger,
    deep_share: float = 1,
) -> Workload:
    return Workload(
        name,
        load=_USUAL_LOAD,
        manner=manner,
        starts_seconds=5,
        ends_seconds=5 + seconds,
        run_seconds=5 + seconds + 20,
        from_seconds=5,
        to_seconds=5 + seconds,
        begin=begin,
        end=end,
        deep_share=deep_share,
    )


def _nothing(network: Network, system: System, crowd: Crowd) -> None:
    """Change nothing."""


def _set_speed(
    factor: float,
    network: Network,
    system: System,
    crowd: Crowd,
) -> None:
    for target in system.targets[network.deployment.bottleneck]:
        target.slow_factor = factor


def _set_one_speed(
    factor: float,
    network: Network,
    system: System,
    crowd: Crowd,
) -> None:
    system.targets[network.deployment.bottleneck][0].slow_factor = factor


def _set_one_broken(
    is_broken: bool,
    network: Network,
    system: System,
    crowd: Crowd,
) -> None:
    system.targets[network.deployment.bottleneck][0].is_broken = is_broken


def _set_load(
    load: float,
    network: Network,
    system: System,
    crowd: Crowd,
) -> None:
    crowd.rate = load * network.deployment.capacity


def _set_cut(
    place: str,
    network: Network,
    system: System,
    crowd: Crowd,
) -> None:
    network.cut = place


WORKLOADS = (
    _steady('1x', 1, PATIENT),
    _steady('2x', 2, PATIENT),
    _steady('2x, hard retries', 2, HARD),
    _steady('4x', 4, PATIENT),
    _steady('4x, hard retries', 4, HARD),
    _steady('2x, half the slots published', 2, PATIENT, published_share=0.5),
    _steady('2x, twice the slots published', 2, PATIENT, published_share=2),
    _passing(
        'deep service x10 slow, 20 s',
        20,
        PATIENT,
        begin=partial(_set_speed, _SLOW_FACTOR),
        end=partial(_set_speed, 1),
        deep_share=1 / _SLOW_FACTOR,
    ),
    _passing(
        'surge x3, hard retries, 5 s',
        5,
        HARD,
        begin=partial(_set_load, _SURGE_LOAD),
        end=partial(_set_load, _USUAL_LOAD),
    ),
    _passing(
        'one failure domain cut, 10 s',
        10,
        PATIENT,
        begin=partial(_set_cut, 'fd3'),
        end=partial(_set_cut, ''),
    ),
    _passing(
        'one deep target x5 slow, 10 s',
        10,
        PATIENT,
        begin=partial(_set_one_speed, 5),
        end=partial(_set_one_speed, 1),
        deep_share=(2 + 1 / 5) / 3,
    ),
    _passing(
        'one deep target fails fast, 10 s',
        10,
        PATIENT,
        begin=partial(_set_one_broken, True),
        end=partial(_set_one_broken, False),
        deep_share=2 / 3,
    ),
)
