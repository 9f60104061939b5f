"""Builds the baseline or a variant of the nodes on a simulated network."""

from collections.abc import Iterator
from random import Random

from bench._baseline import BaselineNode
from bench._clients import IngressNode
from bench._deployment import Deployment, Service
from bench._network import FAILURE_DOMAINS, Network
from bench._protected import ProtectedNode
from bench._sender import Routes, Variant
from bench._target import Target
from lovageshunt._record import Record


class System(Record):
    """Ingress nodes and targets by service.

    ``enforces_retry_bound`` says that attempts of clients beyond the retry
    bound are refused.
    """

    __slots__ = ('ingress_nodes', 'targets', 'enforces_retry_bound')

    def __init__(
        self,
        *,
        ingress_nodes: dict[str, list[IngressNode]],
        targets: dict[str, list[Target]],
        enforces_retry_bound: bool,
    ) -> None:
        self.ingress_nodes = ingress_nodes
        self.targets = targets
        self.enforces_retry_bound = enforces_retry_bound


BASELINE = Variant('baseline', settings={})
VARIANTS = (
    BASELINE,
    Variant('not told', settings={}, advertises_thresholds=False),
    Variant('any target', settings={}, routes_by_load=False),
    Variant('slots only', settings={'max_limit_share': 1}),
    Variant('current', settings={}),
)


def build(network: Network, rng: Random, variant: Variant) -> System:
    """Build one node and target per instance of each service."""
    if variant is BASELINE:
        return _baseline_system(network, rng)
    return _protected_system(network, rng, variant)


def _baseline_system(network: Network, rng: Random) -> System:
    nodes_by_service: dict[str, list[BaselineNode]] = {}
    ingress_nodes: dict[str, list[IngressNode]] = {}
    targets: dict[str, list[Target]] = {}
    for name, service, location in _instances(network.deployment):
        node = BaselineNode(
            network,
            rng,
            service,
            location=location,
            nodes_by_service=nodes_by_service,
        )
        nodes_by_service.setdefault(name, []).append(node)
        ingress_nodes.setdefault(name, []).append(node)
        targets.setdefault(name, []).append(node.target)
    return System(
        ingress_nodes=ingress_nodes, targets=targets, enforces_retry_bound=False
    )


def _protected_system(
    network: Network,
    rng: Random,
    variant: Variant,
) -> System:
    routes = Routes()
    ingress_nodes: dict[str, list[IngressNode]] = {}
    targets: dict[str, list[Target]] = {}
    for name, service, location in _instances(network.deployment):
        node = ProtectedNode(
            network,
            rng,
            service,
            location=location,
            variant=variant,
            routes=routes,
        )
        routes.add(name, node)
        ingress_nodes.setdefault(name, []).append(node)
        targets.setdefault(name, []).append(node.target)
    return System(
        ingress_nodes=ingress_nodes, targets=targets, enforces_retry_bound=True
    )


def _instances(deployment: Deployment) -> Iterator[tuple[str, Service, str]]:
    for name, service in deployment.service_by_name.items():
        for instance in range(service.instances):
            location = FAILURE_DOMAINS[instance % len(FAILURE_DOMAINS)]
            yield name, service, location
