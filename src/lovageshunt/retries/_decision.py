"""Whether the hop that saw a failure retries it."""

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
#: slots: of a target that refuses every other call, one call in 64 is left.
_MOST_SHED_TRIES: Final = 6
#: Refusals of one node that say nothing of the others.
_MOVES_ON: Final = frozenset(
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
#: Failures of the call's own target or connection, not of a call below it.
_OWN_FAILURES: Final = frozenset(
    (
        RefusalReason.CONNECTION_LOST,
        RefusalReason.TARGET_FAILED,
    )
)
#: Doubts that an inquiry at the target's node may settle later.
_DOUBTS: Final = frozenset(
    (
        RefusalReason.IN_DOUBT,
        RefusalReason.CONNECTION_LOST,
        RefusalReason.LEAVING,
        RefusalReason.TABLE_FULL,
    )
)


class RetryPlace(StrEnum):
    """Where a retry goes.

    ``OTHER``: to another target of the service. ``HOME``: to the stamped
    home, or unstamped as an inquiry when there is none.
    """

    OTHER = 'other'
    HOME = 'home'


class AttemptFailure(Record):
    """How one attempt ended, as the hop that made it saw it.

    ``tries`` counts the attempts that this hop made. ``was_retried_below``
    is true when the answer gave back less than the attempt's share.
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
        """Take what the answer, or its lack, says."""
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.tries = tries
        self.was_retried_below = was_retried_below
        self.other_targets = other_targets


class RetryDecision(Record):
    """``place`` is ``None`` when the failure travels up as it is."""

    __slots__ = ('place', 'delay_seconds')

    def __init__(
        self,
        *,
        place: RetryPlace | None = None,
        delay_seconds: float = 0,
    ) -> None:
        """Take the place and the wait before the retry."""
        self.place = place
        self.delay_seconds = delay_seconds

    @property
    def is_retry(self) -> bool:
        """Return whether the hop retries."""
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
    """Decide on a retry and, when it is to be made, spend it.

    A retry is made only where the failure arose at this hop's own call, the
    deadline leaves room for a typical answer, and both the request's share
    and the local budget have one left.
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
    is_doubt = failure.outcome is Outcome.UNKNOWN
    if is_doubt and not is_repeatable and failure.reason in _DOUBTS:
        return RetryPlace.HOME
    return None


def _place_of_not_run(failure: AttemptFailure) -> RetryPlace | None:
    if failure.reason not in _MOVES_ON or not failure.other_targets:
        return None
    is_full = failure.reason is RefusalReason.QUEUE_FULL
    if is_full and failure.tries > 1:
        return None
    is_shed = failure.reason is RefusalReason.SHED
    if is_shed and failure.tries >= _MOST_SHED_TRIES:
        return None
    return RetryPlace.OTHER


def _delay_of(failure: AttemptFailure, random: Random) -> float:
    if failure.outcome is Outcome.NOT_RUN:
        return 0
    asked = failure.retry_after_ms / _MS_PER_SECOND
    doubled = _BACKOFF_SECONDS * 2 ** min(failure.tries, 10)
    return asked + random.uniform(0, min(doubled, _MAX_BACKOFF_SECONDS))
