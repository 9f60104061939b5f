"""Decides whether the hop that saw a failure retries it."""

from enum import StrEnum
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.retries._budget import RetryBudget
from lovageshunt.retries._fleet_budget import FleetRetryBudget
from lovageshunt.retries._pool import AllowancePool

_MS_PER_SECOND: Final = 1000
_BACKOFF_SECONDS: Final = 0.02
_MAX_BACKOFF_SECONDS: Final = 1.0
#: How often one call is sent to targets that refuse it although there were
#: free slots: if they refuse every other call, one call in 64 still fails.
_MAX_SHED_TRIES: Final = 6
#: Reasons of one node that need not apply to another target.
_RETRIED_ELSEWHERE: Final = frozenset(
    (
        RefusalReason.LEAVING,
        RefusalReason.SETTLING,
        RefusalReason.STALE_PICTURE,
        RefusalReason.TABLE_FULL,
        RefusalReason.QUEUE_FULL,
        RefusalReason.SHED,
        RefusalReason.CONNECTION_LOST,
        RefusalReason.TARGET_FAILED,
    )
)
#: Failures of the call's own target or connection, not of a nested call.
_OWN_FAILURES: Final = frozenset(
    (
        RefusalReason.CONNECTION_LOST,
        RefusalReason.TARGET_FAILED,
    )
)
#: Reasons of an unknown outcome that an inquiry at the target's node may
#: resolve later.
_RESOLVABLE: Final = frozenset(
    (
        RefusalReason.IN_DOUBT,
        RefusalReason.CONNECTION_LOST,
        RefusalReason.LEAVING,
        RefusalReason.TABLE_FULL,
    )
)


class RetryPlace(StrEnum):
    """Where a retry is sent.

    ``OTHER``: to another target of the service. ``HOME``: to the home node
    that the call names; without one, it is sent without a home, as an inquiry.
    """

    OTHER = 'other'
    HOME = 'home'


class AttemptFailure(Record):
    """How one attempt ended, as seen by the hop that made it.

    ``tries`` counts the attempts that this hop made, ``other_targets`` the
    targets that it can still try. ``was_retried_below`` is true when the
    answer gave back less than the attempt's share of retries.
    """

    __slots__ = (
        'outcome',
        'reason',
        'retry_after_ms',
        'tries',
        'was_retried_below',
        'other_targets',
    )

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        retry_after_ms: int = 0,
        tries: int = 1,
        was_retried_below: bool = False,
        other_targets: int = 1,
    ) -> None:
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.tries = tries
        self.was_retried_below = was_retried_below
        self.other_targets = other_targets


class RetryDecision(Record):
    """Where to retry, and the wait before it in seconds.

    ``place`` is ``None`` when the failure is passed upstream as it is.
    """

    __slots__ = ('place', 'delay_seconds')

    def __init__(
        self,
        *,
        place: RetryPlace | None = None,
        delay_seconds: float = 0,
    ) -> None:
        self.place = place
        self.delay_seconds = delay_seconds

    @property
    def is_retry(self) -> bool:
        return self.place is not None


def decide_retry(
    failure: AttemptFailure,
    *,
    now: float,
    deadline: float,
    is_repeatable: bool,
    pool: AllowancePool,
    budget: RetryBudget | FleetRetryBudget,
    typical_seconds: float,
    random: Random,
) -> RetryDecision:
    """Decide on a retry and, if it is made, spend it from pool and budget.

    A retry is made only if the failure arose at this hop's own call, if there
    is time for a typical answer (``typical_seconds``) before the deadline, and
    if both the request's pool and the budget have a retry left.
    """
    place = _place_of(failure, is_repeatable=is_repeatable)
    if place is None:
        return RetryDecision()
    delay = _delay_of(failure, random)
    if now + delay + typical_seconds > deadline:
        return RetryDecision()
    if not budget.may_spend(now) or not pool.spend_retry():
        return RetryDecision()
    budget.spend(now)
    return RetryDecision(place=place, delay_seconds=delay)


def _place_of(
    failure: AttemptFailure, *, is_repeatable: bool
) -> RetryPlace | None:
    if failure.outcome is Outcome.ANSWERED or failure.was_retried_below:
        return None
    if failure.outcome is Outcome.NOT_RUN:
        return _place_of_not_run(failure)
    if is_repeatable and failure.reason in _OWN_FAILURES:
        return RetryPlace.OTHER if failure.other_targets else RetryPlace.HOME
    is_unknown = failure.outcome is Outcome.UNKNOWN
    if is_unknown and not is_repeatable and failure.reason in _RESOLVABLE:
        return RetryPlace.HOME
    return None


def _place_of_not_run(failure: AttemptFailure) -> RetryPlace | None:
    if failure.reason not in _RETRIED_ELSEWHERE or not failure.other_targets:
        return None
    is_full = failure.reason is RefusalReason.QUEUE_FULL
    if is_full and failure.tries > 1:
        return None
    is_shed = failure.reason is RefusalReason.SHED
    if is_shed and failure.tries >= _MAX_SHED_TRIES:
        return None
    return RetryPlace.OTHER


def _delay_of(failure: AttemptFailure, random: Random) -> float:
    if failure.outcome is Outcome.NOT_RUN:
        return 0
    requested = failure.retry_after_ms / _MS_PER_SECOND
    backoff = _BACKOFF_SECONDS * 2 ** min(failure.tries, 10)
    return requested + random.uniform(0, min(backoff, _MAX_BACKOFF_SECONDS))
