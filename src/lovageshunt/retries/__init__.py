"""The allowance of a root request, local budgets and crash quarantine."""

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
from lovageshunt.retries._outcome_tracker import OutcomeTracker, merge_calls
from lovageshunt.retries._pool import AllowancePool
from lovageshunt.retries._quarantine import Quarantine, QuarantineSettings
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

__all__ = [
    'AllowancePool',
    'AllowanceShare',
    'CallEnded',
    'CallStarting',
    'OutcomeTracker',
    'FailCondemned',
    'AttemptFailure',
    'FleetBudgetSettings',
    'FleetRetryBudget',
    'FleetRetryBudgets',
    'PeerReported',
    'Proceed',
    'Quarantine',
    'QuarantineAction',
    'QuarantineEvent',
    'QuarantineSettings',
    'RefuseTemporarily',
    'RetryBudget',
    'RetryBudgetSettings',
    'RetryPlace',
    'RetryDecision',
    'SuspectReport',
    'Suspicion',
    'TargetCrashed',
    'NotifyPeers',
    'allowance_for',
    'decide_retry',
    'merge_calls',
]
