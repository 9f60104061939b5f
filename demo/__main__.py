"""Runs the demo; see the package."""

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

import orjson

from demo._checks import Findings, check_account, check_outcomes
from demo._load import Ledger, run_load
from demo._plans import DESPENSA, NAHR_LABS, DeploymentPlan
from lovageshunt.cli import main as lovageshunt
from lovageshunt.client import Client, ClientOptions
from standins.fleet import Fleet

_LOAD_SECONDS = 10.0
_PER_SECOND = 40.0
_STOP_AFTER_SECONDS = 3.0
_RETRY_BOUND = 4


async def _demonstrate(plan: DeploymentPlan, folder: Path) -> list[str]:
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
        ledger = await _load(plan, fleet)
        findings = check_outcomes(plan, fleet, ledger, _RETRY_BOUND)
        names = [vm.name for vm in fleet.vms if vm.name != plan.stopped]
        await check_account(findings, fleet, names)
    finally:
        await fleet.stop()
    return _report(plan, ledger, findings)


async def _load(plan: DeploymentPlan, fleet: Fleet) -> Ledger:
    client = Client(
        ClientOptions(
            name='phone',
            failure_domain='a',
            seeds=tuple(vm.ingress for vm in fleet.vms),
            services=(plan.lookup[0], plan.purchase[0]),
        ),
    )
    await client.start()
    ledger = Ledger()
    load = run_load(
        client,
        ledger,
        lookup=plan.lookup,
        purchase=plan.purchase,
        seconds=_LOAD_SECONDS,
        per_second=_PER_SECOND,
    )
    stopping = _stop_later(fleet, plan.stopped)
    await asyncio.gather(load, stopping)
    await client.close()
    return ledger


async def _stop_later(fleet: Fleet, name: str) -> None:
    await asyncio.sleep(_STOP_AFTER_SECONDS)
    await fleet.stop_node(name)


def _report(
    plan: DeploymentPlan,
    ledger: Ledger,
    findings: Findings,
) -> list[str]:
    lines = [f'{plan.name}: {plan.stopped} stopped under load']
    for kind in ('lookup', 'purchase'):
        counts = ', '.join(
            f'{told} {times}' for told, times in ledger.counts(kind).items()
        )
        lines.append(f'  {kind}s: {counts}')
    median = statistics.median(ledger.milliseconds)
    lines.append(f'  median time of an answer: {median:.0f} ms')
    return [*lines, *findings.lines]


async def _main() -> int:
    with tempfile.TemporaryDirectory() as parent:
        folders = [Path(parent, plan.name) for plan in (NAHR_LABS, DESPENSA)]
        for folder in folders:
            folder.mkdir()
        reports = await asyncio.gather(
            _demonstrate(NAHR_LABS, folders[0]),
            _demonstrate(DESPENSA, folders[1]),
        )
    lines = [line for report in reports for line in report]
    sys.stdout.writelines(f'{line}\n' for line in lines)
    return int(any('BROKEN' in line for line in lines))


if __name__ == '__main__':
    sys.exit(asyncio.run(_main()))
