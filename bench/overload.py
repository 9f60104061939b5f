"""Simulated goodput and recovery under overload, compared with a baseline.

``python -m bench overload`` runs every workload on both deployments with
each variant and prints one table. Seeds are fixed. Further arguments are
names of the deployments, workloads and variants to run.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from random import Random

from bench._clients import LoadGenerator
from bench._deployment import AGENCIA, NAHR
from bench._loop import Loop
from bench._network import Network
from bench._report import Report, report_on, table_row
from bench._systems import VARIANTS, build
from bench._workloads import WORKLOADS

_SEED = 7
_PROCESSES = 4
_DEPLOYMENT_BY_NAME = {
    deployment.name: deployment for deployment in (NAHR, AGENCIA)
}
_WORKLOAD_BY_NAME = {workload.name: workload for workload in WORKLOADS}
_VARIANT_BY_NAME = {variant.name: variant for variant in VARIANTS}
_HEADER = (
    '  system     goodput  served by kind, all in per cent; '
    'retries mean, max; wasted %; recovery s; why requests failed'
)

RunNames = tuple[str, str, str]


def measure(names: RunNames, seed: int = _SEED) -> Report:
    """Simulate the named deployment, workload and variant."""
    deployment = _DEPLOYMENT_BY_NAME[names[0]]
    workload = _WORKLOAD_BY_NAME[names[1]]
    loop = Loop()
    rng = Random(seed)
    network = Network(loop, deployment)
    network.published_share = workload.published_share
    system = build(network, rng, _VARIANT_BY_NAME[names[2]])
    generator = LoadGenerator(
        network,
        Random(seed),
        system.ingress_nodes,
        workload.policy,
        enforces_retry_bound=system.enforces_retry_bound,
    )
    generator.rate = workload.load * deployment.capacity
    generator.start()
    loop.run(workload.trigger_start_seconds)
    workload.start_trigger(network, system, generator)
    loop.run(workload.trigger_end_seconds)
    workload.stop_trigger(network, system, generator)
    loop.run(workload.run_seconds)
    return report_on(network.run_record, deployment, workload)


def run(arguments: list[str]) -> None:
    """Print one row per run; no names of a sort select all of that sort."""
    chosen = [
        names
        for names in product(
            _select(_DEPLOYMENT_BY_NAME, arguments),
            _select(_WORKLOAD_BY_NAME, arguments),
            _select(_VARIANT_BY_NAME, arguments),
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


def _select(
    entry_by_name: dict[str, object], arguments: list[str]
) -> list[str]:
    return [name for name in entry_by_name if name in arguments] or list(
        entry_by_name
    )


if __name__ == '__main__':
    run(sys.argv[1:])
