"""Checks of the guarantees that are visible from outside, after the load."""

from collections import Counter

from demo._load import OutcomeLog
from demo._plans import DeploymentPlan
from lovageshunt.account import (
    MergedAccount,
    find_imbalances,
    snapshot_from_dict,
)
from standins.fleet import Fleet

#: The failed requests that a broken guarantee tells more of.
_MAX_DESCRIBED = 8


class Findings:
    """Results of the checks.

    ``lines`` has one line of text per guarantee; ``is_good`` is true while
    all of them hold.
    """

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.is_good = True

    def check(self, guarantee: str, violations: int, detail: str = '') -> None:
        """Record a guarantee, which holds if there are no violations."""
        result = 'held' if violations == 0 else f'BROKEN {violations} times'
        self.lines.append(f'  {guarantee}: {result} {detail}'.rstrip())
        self.is_good = self.is_good and violations == 0


def check_outcomes(
    plan: DeploymentPlan,
    fleet: Fleet,
    outcome_log: OutcomeLog,
    retry_bound: int,
) -> Findings:
    """Compare the outcomes reported to callers with the executions."""
    findings = Findings()
    purchases = fleet.execution_counts(plan.purchase[0])
    ran = _executions_by_request(plan, fleet)
    findings.check(
        'purchases run at most once',
        sum(count > 1 for count in purchases.values()),
        f'({len(purchases)} ran)',
    )
    not_run = outcome_log.ids_with_outcome('CallNotRunError')
    findings.check(
        'requests reported as not run did not run',
        sum(ran[request_id] > 0 for request_id in not_run),
        f'({len(not_run)} reported)',
    )
    findings.check(
        'every answer complete and for its own request',
        len(outcome_log.wrong_answers),
        f'({len(outcome_log.ids_with_outcome("answered"))} answers)',
    )
    depth = len(plan.services)
    max_executions = max(ran.values(), default=0)
    findings.check(
        'retries within the bound',
        sum(count > depth + retry_bound for count in ran.values()),
        f'(at most {max_executions} executions per request)',
    )
    interrupted = outcome_log.ids_with_outcome(
        'CallFailedError'
    ) + outcome_log.ids_with_outcome('CallUnknownError')
    findings.check(
        'the planned stop interrupted no request',
        len(interrupted),
        outcome_log.described(interrupted[:_MAX_DESCRIBED]),
    )
    return findings


async def check_account(
    findings: Findings,
    fleet: Fleet,
    names: list[str],
) -> None:
    """Check that the account snapshots of all nodes balance."""
    account = MergedAccount()
    imbalances = 0
    for name in names:
        body = await fleet.admin(name, '/v1/account')
        for fields in (body['account'], *body['kept']):
            snapshot = snapshot_from_dict(fields)
            imbalances += len(find_imbalances(snapshot))
            account.add(snapshot)
    arrived = sum(line.arrived for line in account.lines())
    findings.check('the account balances', imbalances, f'({arrived} calls)')


def _executions_by_request(plan: DeploymentPlan, fleet: Fleet) -> Counter[str]:
    ran: Counter[str] = Counter()
    for service in plan.services:
        for call_id, count in fleet.execution_counts(service.name).items():
            ran[call_id.split('.')[0]] += count
    return ran
