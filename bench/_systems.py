"""The systems that are compared, each built over one network."""

from collections.abc import Iterator
from random import Random

from bench._deployment import Deployment, Service
from bench._network import FAILURE_DOMAINS, Network
from bench._people import Entrance
from bench._plain import PlainNode
from bench._protected import ProtectedNode
from bench._sender import Routes, Variant
from bench._target import Target
from lovageshunt._record import Record


class System(Record):
    """Entrances and targets by service."""

    __slots__ = ('entrances', 'targets', 'is_bounded')

    def __init__(
        self,
        *,
        entrances: dict[str, list[Entrance]],
        targets: dict[str, list[Target]],
        is_bounded: bool,
    ) -> None:
        """Take every field by name."""
        self.entrances = entrances
        self.targets = targets
        self.is_bounded = is_bounded


BASELINE = Variant('baseline', settings={})
VARIANTS = (
    BASELINE,
    Variant('not told', settings={}, tells_callers=False),
    Variant('any target', settings={}, weighs_targets=False),
    Variant('slots only', settings={'max_limit_share': 1}),
    Variant('current', settings={}),
)


def build(network: Network, rng: Random, variant: Variant) -> System:
    """Build the nodes of one variant."""
    if variant is BASELINE:
        return _plain_system(network, rng)
    return _protected_system(network, rng, variant)


def _plain_system(network: Network, rng: Random) -> System:
    nodes_by_service: dict[str, list[PlainNode]] = {}
    entrances: dict[str, list[Entrance]] = {}
    targets: dict[str, list[Target]] = {}
    for name, service, place in _places(network.deployment):
        node = PlainNode(
            network,
            rng,
            service,
            place=place,
            nodes_by_service=nodes_by_service,
        )
        nodes_by_service.setdefault(name, []).append(node)
        entrances.setdefault(name, []).append(node)
        targets.setdefault(name, []).append(node.target)
    return System(entrances=entrances, targets=targets, is_bounded=False)


def _protected_system(
    network: Network,
    rng: Random,
    variant: Variant,
) -> System:
    routes = Routes()
    entrances: dict[str, list[Entrance]] = {}
    targets: dict[str, list[Target]] = {}
    for name, service, place in _places(network.deployment):
        node = ProtectedNode(
            network,
            rng,
            service,
            place=place,
            variant=variant,
            routes=routes,
        )
        routes.add(name, node)
        entrances.setdefault(name, []).append(node)
        targets.setdefault(name, []).append(node.target)
    return System(entrances=entrances, targets=targets, is_bounded=True)


def _places(deployment: Deployment) -> Iterator[tuple[str, Service, str]]:
    for name, service in deployment.service_by_name.items():
        for instance in range(service.instances):
            place = FAILURE_DOMAINS[instance % len(FAILURE_DOMAINS)]
            yield name, service, place
