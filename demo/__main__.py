"""Entry point of ``python -m demo``; see the package docstring."""

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

import orjson

from demo._checks import Findings, check_account, check_outcomes
from demo._load import OutcomeLog, run_load
from demo._plans import DESPENSA, NAHR_LABS, DeploymentPlan
from lovageshunt.cli import main as lovageshunt
from lovageshunt.client import Client, ClientOptions
from standins.fleet import Fleet

_LOAD_DURATION_SECONDS = 10.0
_REQUESTS_PER_SECOND = 40.0
_STOP_DELAY_SECONDS = 3.0
_RETRY_BOUND = 4


async def _run_deployment(plan: DeploymentPlan, folder: Path) -> list[str]:
    document = folder / 'rules.json'
    accepted = await asyncio.to_thread(
        lovageshunt,
        ['rules', 'accept', str(plan.sheet), f'--out={document}'],
    )
    if accepted:
        return [f'{plan.name}: BROKEN, the sheet was not accepted']
    fleet = Fleet(folder, plan.services)
    try:
        await fleet.start(orjson.loads(document.read_bytes()))
        outcome_log = await _load(plan, fleet)
        findings = check_outcomes(plan, fleet, outcome_log, _RETRY_BOUND)
        names = [vm.name for vm in fleet.vms if vm.name != plan.stopped_vm]
        await check_account(findings, fleet, names)
    finally:
        await fleet.stop()
    return _report(plan, outcome_log, findings)


async def _load(plan: DeploymentPlan, fleet: Fleet) -> OutcomeLog:
    client = Client(
        ClientOptions(
            name='phone',
            failure_domain='a',
            seeds=tuple(vm.ingress for vm in fleet.vms),
            services=(plan.lookup[0], plan.purchase[0]),
        ),
    )
    await client.start()
    outcome_log = OutcomeLog()
    load = run_load(
        client,
        outcome_log,
        lookup=plan.lookup,
        purchase=plan.purchase,
        seconds=_LOAD_DURATION_SECONDS,
        per_second=_REQUESTS_PER_SECOND,
    )
    stop = _stop_node_later(fleet, plan.stopped_vm)
    await asyncio.gather(load, stop)
    await client.close()
    return outcome_log


async def _stop_node_later(fleet: Fleet, name: str) -> None:
    await asyncio.sleep(_STOP_DELAY_SECONDS)
    await fleet.stop_node(name)


def _report(
    plan: DeploymentPlan,
    outcome_log: OutcomeLog,
    findings: Findings,
) -> list[str]:
    lines = [f'{plan.name}: {plan.stopped_vm} stopped under load']
    for kind in ('lookup', 'purchase'):
        counts = ', '.join(
            f'{outcome} {count}'
            for outcome, count in outcome_log.counts(kind).items()
        )
        lines.append(f'  {kind}s: {counts}')
    median = statistics.median(outcome_log.latencies_ms)
    lines.append(f'  median latency: {median:.0f} ms')
    return [*lines, *findings.lines]


async def _main() -> int:
    with tempfile.TemporaryDirectory() as parent:
        folders = [Path(parent, plan.name) for plan in (NAHR_LABS, DESPENSA)]
        for folder in folders:
            folder.mkdir()
        reports = await asyncio.gather(
            _run_deployment(NAHR_LABS, folders[0]),
            _run_deployment(DESPENSA, folders[1]),
        )
    lines = [line for report in reports for line in report]
    sys.stdout.writelines(f'{line}\n' for line in lines)
    return int(any('BROKEN' in line for line in lines))


if __name__ == '__main__':
    sys.exit(asyncio.run(_main()))
