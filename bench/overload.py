"""Goodput and recovery under overload, beside a baseline, in one run.

``python -m bench overload`` runs every workload on both deployments with
each variant and prints one table. Seeds are fixed. Further arguments pick
the deployments, workloads and variants of these names.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from random import Random

from bench._deployment import AGENCIA, NAHR
from bench._loop import Loop
from bench._network import Network
from bench._people import Crowd
from bench._report import Report, report_on, table_row
from bench._systems import VARIANTS, build
from bench._workloads import WORKLOADS

_SEED = 7
_PROCESSES = 4
_DEPLOYMENT_BY_NAME = {place.name: place for place in (NAHR, AGENCIA)}
_WORKLOAD_BY_NAME = {workload.name: workload for workload in WORKLOADS}
_VARIANT_BY_NAME = {variant.name: variant for variant in VARIANTS}
_HEADER = (
    '  system     goodput  served by kind, all in per cent; '
    'retries mean, max; wasted %; recovery s; why requests failed'
)

Names = tuple[str, str, str]


def measure(names: Names, seed: int = _SEED) -> Report:
    """Run a deployment under a workload with a variant, each by its name."""
    deployment = _DEPLOYMENT_BY_NAME[names[0]]
    workload = _WORKLOAD_BY_NAME[names[1]]
    loop = Loop()
    rng = Random(seed)
    network = Network(loop, deployment)
    network.published_share = workload.published_share
    system = build(network, rng, _VARIANT_BY_NAME[names[2]])
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
    """Print the table."""
    chosen = [
        names
        for names in product(
            _named(_DEPLOYMENT_BY_NAME, arguments),
            _named(_WORKLOAD_BY_NAME, arguments),
            _named(_VARIANT_BY_NAME, arguments),
        )
    ]
    heading = ''
    with ProcessPoolExecutor(max_workers=_PROCESSES) as pool:
        for names, report in zip(
            chosen,
            pool.map(measure, chosen),
            strict=True,
        ):
            title = f'{names[0]}: {names[1]}\n{_HEADER}\n'
            if title != heading:
                sys.stdout.write(title)
            heading = title
            sys.stdout.write(f'{table_row(names[2], report)}\n')
            sys.stdout.flush()


def _named(known: dict[str, object], arguments: list[str]) -> list[str]:
    return [name for name in known if name in arguments] or list(known)


if __name__ == '__main__':
    run(sys.argv[1:])
