"""Whether the hop that saw a failure retries it."""

from random import Random

import pytest

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.retries import (
    AllowancePool,
    AttemptFailure,
    RetryBudget,
    RetryBudgetSettings,
    RetryPlace,
    decide_retry,
)


def _verdict(failure, *, is_repeatable=True, left=1, deadline=10, floor=1):
    return decide_retry(
        failure,
        now=0,
        deadline=deadline,
        is_repeatable=is_repeatable,
        pool=AllowancePool(left),
        budget=RetryBudget(RetryBudgetSettings(floor=floor), 0),
        typical_seconds=1,
        random=Random(1),
    )


def _leaving():
    return AttemptFailure(outcome=Outcome.NOT_RUN, reason=RefusalReason.LEAVING)


def _lost():
    return AttemptFailure(
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.CONNECTION_LOST,
    )


class TestMayRetry:
    """One hop retries a failure, within every budget."""

    @pytest.mark.parametrize('is_repeatable', [True, False])
    def test_leaving_target_moves_the_call_at_once(self, is_repeatable):
        """Nothing ran, so any call goes to another target without delay."""
        verdict = _verdict(_leaving(), is_repeatable=is_repeatable)

        assert verdict.place is RetryPlace.OTHER
        assert verdict.delay_seconds == 0

    def test_overload_travels_up(self):
        """A threshold holds at every target, so another try is no help."""
        overload = AttemptFailure(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
        )

        assert not _verdict(overload).is_retry

    def test_full_queue_is_tried_elsewhere_once(self):
        """One more target may have room; two full queues are overload."""
        full = AttemptFailure(
            outcome=Outcome.NOT_RUN, reason=RefusalReason.QUEUE_FULL
        )
        assert _verdict(full).is_retry

        full.tries = 2

        assert not _verdict(full).is_retry

    def test_refusal_of_a_target_with_room_is_tried_again(self):
        """Its next answer may be another; six in a row are enough."""
        shed = AttemptFailure(
            outcome=Outcome.NOT_RUN, reason=RefusalReason.SHED
        )
        for tries in range(1, 6):
            shed.tries = tries
            assert _verdict(shed, is_repeatable=False).is_retry
        shed.tries = 6
        assert not _verdict(shed).is_retry

    def test_failure_of_a_deeper_hop_travels_up(self):
        """The hop nearest to the failure has retried it already."""
        failed = AttemptFailure(
            outcome=Outcome.FAILED,
            reason=RefusalReason.TARGET_FAILED,
            was_retried_below=True,
        )

        assert not _verdict(failed).is_retry

    def test_lost_answer_of_a_call_that_must_run_once_goes_home(self):
        """Its node reads the outcome and does not run it again."""
        verdict = _verdict(_lost(), is_repeatable=False)

        assert verdict.place is RetryPlace.HOME

    def test_failed_call_that_must_run_once_is_not_retried(self):
        """Some of it ran."""
        failed = AttemptFailure(
            outcome=Outcome.FAILED,
            reason=RefusalReason.TARGET_FAILED,
        )

        assert not _verdict(failed, is_repeatable=False).is_retry

    @pytest.mark.parametrize(
        'limits',
        [{'left': 0}, {'floor': 0}, {'deadline': 0.9}],
    )
    def test_every_limit_holds(self, limits):
        """No share, no local budget or no time left ends the retries."""
        assert _verdict(_lost()).is_retry
        assert not _verdict(_lost(), **limits).is_retry


class TestRetryBudget:
    """Retries earned by successes."""

    def test_successes_earn_a_fraction(self):
        """Ten successes earn a retry at a tenth."""
        budget = RetryBudget(RetryBudgetSettings(floor=0), 0)
        for _ in range(11):
            budget.succeeded(0)

        assert budget.spend(0)
        assert not budget.spend(0)

    def test_old_successes_fade(self):
        """What was earned long ago is no ground for a retry now."""
        budget = RetryBudget(RetryBudgetSettings(floor=0), 0)
        for _ in range(20):
            budget.succeeded(0)

        assert not budget.spend(60)
