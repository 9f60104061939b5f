"""Deciding whether the hop that saw a failure retries it."""

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


def _decision(failure, *, is_repeatable=True, left=1, deadline=10, floor=1):
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


class TestDecideRetry:
    """One hop retries a failure, within every limit."""

    @pytest.mark.parametrize('is_repeatable', [True, False])
    def test_leaving_target_moves_the_call_at_once(self, is_repeatable):
        """Nothing ran, so any call goes to another target without delay."""
        decision = _decision(_leaving(), is_repeatable=is_repeatable)

        assert decision.place is RetryPlace.OTHER
        assert decision.delay_seconds == 0

    def test_overload_is_passed_upstream(self):
        """The threshold holds at every target, so a retry would not help."""
        overload = AttemptFailure(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
        )

        assert not _decision(overload).is_retry

    def test_full_queue_is_tried_elsewhere_once(self):
        """Another target may have capacity; two full queues are overload."""
        full = AttemptFailure(
            outcome=Outcome.NOT_RUN, reason=RefusalReason.QUEUE_FULL
        )
        assert _decision(full).is_retry

        full.tries = 2

        assert not _decision(full).is_retry

    def test_refusal_of_a_target_with_free_slots_is_retried(self):
        """The next try may be accepted; after six the hop stops."""
        shed = AttemptFailure(
            outcome=Outcome.NOT_RUN, reason=RefusalReason.SHED
        )
        for tries in range(1, 6):
            shed.tries = tries
            assert _decision(shed, is_repeatable=False).is_retry
        shed.tries = 6
        assert not _decision(shed).is_retry

    def test_failure_of_a_deeper_hop_is_passed_upstream(self):
        """The hop nearest to the failure has already retried it."""
        failed = AttemptFailure(
            outcome=Outcome.FAILED,
            reason=RefusalReason.TARGET_FAILED,
            was_retried_below=True,
        )

        assert not _decision(failed).is_retry

    def test_lost_answer_of_a_call_that_must_run_once_goes_home(self):
        """Its home node looks up the outcome and does not run it again."""
        decision = _decision(_lost(), is_repeatable=False)

        assert decision.place is RetryPlace.HOME

    def test_failed_call_that_must_run_once_is_not_retried(self):
        """Part of it ran, so a retry could run it twice."""
        failed = AttemptFailure(
            outcome=Outcome.FAILED,
            reason=RefusalReason.TARGET_FAILED,
        )

        assert not _decision(failed, is_repeatable=False).is_retry

    @pytest.mark.parametrize(
        'limits',
        [{'left': 0}, {'floor': 0}, {'deadline': 0.9}],
    )
    def test_every_limit_holds(self, limits):
        """An empty pool, an empty budget or a near deadline stops retries."""
        assert _decision(_lost()).is_retry
        assert not _decision(_lost(), **limits).is_retry


class TestRetryBudget:
    """Retries earned by successes."""

    def test_successes_earn_a_fraction(self):
        """At a tenth of a retry each, about ten successes earn one."""
        budget = RetryBudget(RetryBudgetSettings(floor=0), 0)
        for _ in range(11):
            budget.succeeded(0)

        assert budget.spend(0)
        assert not budget.spend(0)

    def test_old_successes_decay(self):
        """Tokens earned long ago no longer allow a retry."""
        budget = RetryBudget(RetryBudgetSettings(floor=0), 0)
        for _ in range(20):
            budget.succeeded(0)

        assert not budget.spend(60)
