"""What the demo can see of the promises, checked after the load."""

from collections import Counter

from demo._load import Ledger
from demo._plans import DeploymentPlan
from lovageshunt.account import (
    MergedAccount,
    find_imbalances,
    snapshot_from_dict,
)
from standins.fleet import Fleet


class Findings:
    """Which promises held, and the figures behind them."""

    def __init__(self) -> None:
        """Begin with none checked."""
        self.lines: list[str] = []
        self.is_good = True

    def check(self, promise: str, faults: int, detail: str = '') -> None:
        """Note one promise; it held if there is no fault."""
        held = 'held' if faults == 0 else f'BROKEN {faults} times'
        self.lines.append(f'  {promise}: {held} {detail}'.rstrip())
        self.is_good = self.is_good and faults == 0


def check_outcomes(
    plan: DeploymentPlan,
    fleet: Fleet,
    ledger: Ledger,
    retry_bound: int,
) -> Findings:
    """Compare what callers were told with what the targets ran."""
    findings = Findings()
    purchases = fleet.executions(plan.purchase[0])
    ran = _ran_by_request(plan, fleet)
    findings.check(
        'purchases run at most once',
        sum(times > 1 for times in purchases.values()),
        f'({len(purchases)} ran)',
    )
    not_run = ledger.ids_told('CallNotRunError')
    findings.check(
        'told "not run", and nothing ran',
        sum(ran[request_id] > 0 for request_id in not_run),
        f'({len(not_run)} told)',
    )
    findings.check(
        'every answer whole and its own',
        len(ledger.wrong_answers),
        f'({len(ledger.ids_told("answered"))} answers)',
    )
    depth = len(plan.services)
    most = max(ran.values(), default=0)
    findings.check(
        'retries within the bound',
        sum(times > depth + retry_bound for times in ran.values()),
        f'(at most {most} executions a request)',
    )
    cut = ledger.ids_told('CallFailedError') + ledger.ids_told(
        'CallUnknownError'
    )
    findings.check('the planned stop cut off nothing', len(cut))
    return findings


async def check_account(
    findings: Findings,
    fleet: Fleet,
    names: list[str],
) -> None:
    """Collect and balance the account of all nodes."""
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


def _ran_by_request(plan: DeploymentPlan, fleet: Fleet) -> Counter[str]:
    ran: Counter[str] = Counter()
    for service in plan.services:
        for call_id, times in fleet.executions(service.name).items():
            ran[call_id.split('.')[0]] += times
    return ran
