"""Deriving one outcome from those of several attempts or calls."""

import pytest

from lovageshunt.calls import Outcome
from lovageshunt.retries import OutcomeTracker, merge_outcomes


def _tracker(*outcomes, started=0):
    tracker = OutcomeTracker()
    for outcome in outcomes:
        tracker.begin()
        tracker.end(outcome)
    for _ in range(started):
        tracker.begin()
    return tracker


class TestOutcomeTracker:
    """The outcome of a call over all its attempts."""

    @pytest.mark.parametrize('other', [Outcome.FAILED, Outcome.UNKNOWN])
    def test_not_run_only_if_no_attempt_was_dispatched(self, other):
        """A refused retry does not hide an attempt that may have run."""
        assert _tracker(other, Outcome.NOT_RUN).outcome is other

    def test_all_refused_is_not_run(self):
        """Refused attempts only: nothing was dispatched."""
        tracker = _tracker(Outcome.NOT_RUN, Outcome.NOT_RUN)

        assert tracker.outcome is Outcome.NOT_RUN

    def test_attempt_without_an_outcome_is_unknown(self):
        """Such an attempt may have run, be running or run later."""
        assert _tracker(Outcome.NOT_RUN, started=1).outcome is Outcome.UNKNOWN

    def test_any_answer_answers(self):
        """One answered attempt outweighs an earlier failure."""
        tracker = _tracker(Outcome.FAILED, Outcome.ANSWERED)

        assert tracker.outcome is Outcome.ANSWERED

    def test_guarantee_of_the_home_overrides_unknown(self):
        """A home node's *not run* covers all attempts before it."""
        tracker = _tracker(Outcome.UNKNOWN, Outcome.NOT_RUN)

        tracker.prove_not_run()

        assert tracker.outcome is Outcome.NOT_RUN


class TestMergeOutcomes:
    """The outcome of a request from those of its calls."""

    def test_answered_only_if_all_are(self):
        """One call without an answer makes the answer incomplete."""
        merged = merge_outcomes([Outcome.ANSWERED, Outcome.NOT_RUN])

        assert merged is Outcome.FAILED

    def test_not_run_only_if_all_are(self):
        """One dispatched call is enough to be no longer *not run*."""
        refused = [Outcome.NOT_RUN, Outcome.NOT_RUN]

        assert merge_outcomes(refused) is Outcome.NOT_RUN
        merged = merge_outcomes([Outcome.NOT_RUN, Outcome.UNKNOWN])
        assert merged is Outcome.UNKNOWN
