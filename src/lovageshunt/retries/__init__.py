"""Retry allowance of a root request, retry budgets and crash quarantine."""

from lovageshunt.retries._allowance import AllowanceShare, allowance_for
from lovageshunt.retries._budget import RetryBudget, RetryBudgetSettings
from lovageshunt.retries._decision import (
    AttemptFailure,
    RetryDecision,
    RetryPlace,
    decide_retry,
)
from lovageshunt.retries._fleet_budget import (
    FleetBudgetSettings,
    FleetRetryBudget,
    FleetRetryBudgets,
)
from lovageshunt.retries._outcome_tracker import OutcomeTracker, merge_outcomes
from lovageshunt.retries._pool import AllowancePool
from lovageshunt.retries._quarantine import Quarantine
from lovageshunt.retries._quarantine_messages import (
    CallEnded,
    CallStarting,
    FailCondemned,
    NotifyPeers,
    PeerReported,
    Proceed,
    QuarantineAction,
    QuarantineEvent,
    RefuseTemporarily,
    SuspectReport,
    Suspicion,
    TargetCrashed,
)
from lovageshunt.retries._quarantine_settings import QuarantineSettings

__all__ = [
    'AllowancePool',
    'AllowanceShare',
    'AttemptFailure',
    'CallEnded',
    'CallStarting',
    'FailCondemned',
    'FleetBudgetSettings',
    'FleetRetryBudget',
    'FleetRetryBudgets',
    'NotifyPeers',
    'OutcomeTracker',
    'PeerReported',
    'Proceed',
    'Quarantine',
    'QuarantineAction',
    'QuarantineEvent',
    'QuarantineSettings',
    'RefuseTemporarily',
    'RetryBudget',
    'RetryBudgetSettings',
    'RetryDecision',
    'RetryPlace',
    'SuspectReport',
    'Suspicion',
    'TargetCrashed',
    'allowance_for',
    'decide_retry',
    'merge_outcomes',
]
