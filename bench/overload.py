"""Goodput and recovery under overload, beside a baseline, in one run.

``python -m bench overload`` runs every workload on both deployments with
each variant and prints one table. Seeds are fixed.
"""

import sys
from random import Random

from bench._deployment import AGENCIA, NAHR, Deployment
from bench._loop import Loop
from bench._network import Network
from bench._people import Crowd
from bench._protected import Variant
from bench._report import Report, report_on, table_row
from bench._systems import VARIANTS, build
from bench._workloads import WORKLOADS, Workload

_SEED = 7
_HEADER = (
    '  system     goodput  served by kind, all in per cent; '
    'retries mean, max; wasted %; recovery s; why requests failed'
)


def measure(
    deployment: Deployment,
    workload: Workload,
    variant: Variant,
    seed: int = _SEED,
) -> Report:
    """Run one workload on one variant."""
    loop = Loop()
    rng = Random(seed)
    network = Network(loop, deployment)
    system = build(network, rng, variant)
    crowd = Crowd(
        network,
        Random(seed),
        system.entrances,
        workload.manner,
        is_bounded=system.is_bounded,
    )
    crowd.rate = workload.load * deployment.capacity
    crowd.start()
    loop.run(workload.starts_seconds)
    workload.begin(network, system, crowd)
    loop.run(workload.ends_seconds)
    workload.end(network, system, crowd)
    loop.run(workload.run_seconds)
    return report_on(network.book, deployment, workload)


def run(arguments: list[str]) -> None:
    """Print the table; arguments pick deployments, workloads, variants."""
    for deployment in (NAHR, AGENCIA):
        for workload in WORKLOADS:
            _print_workload(deployment, workload, arguments)


def _print_workload(
    deployment: Deployment,
    workload: Workload,
    arguments: list[str],
) -> None:
    named = {deployment.name, workload.name}
    if not named.issuperset(arguments):
        return
    sys.stdout.write(f'{deployment.name}: {workload.name}\n{_HEADER}\n')
    for variant in VARIANTS:
        report = measure(deployment, workload, variant)
        sys.stdout.write(f'{table_row(variant.name, report)}\n')
        sys.stdout.flush()
