"""One outcome for a call out of those of its attempts and calls below."""

import pytest

from lovageshunt.calls import Outcome
from lovageshunt.retries import OutcomeTracker, merge_calls


def _tally(*outcomes, begun=0):
    tally = OutcomeTracker()
    for outcome in outcomes:
        tally.begin()
        tally.end(outcome)
    for _ in range(begun):
        tally.begin()
    return tally


class TestCallTally:
    """The outcome over all attempts."""

    @pytest.mark.parametrize('other', [Outcome.FAILED, Outcome.UNKNOWN])
    def test_not_run_only_if_no_attempt_was_dispatched(self, other):
        """A refused retry does not hide an attempt that may have run."""
        assert _tally(other, Outcome.NOT_RUN).outcome is other

    def test_all_refused_is_not_run(self):
        """Nothing was dispatched anywhere."""
        tally = _tally(Outcome.NOT_RUN, Outcome.NOT_RUN)

        assert tally.outcome is Outcome.NOT_RUN

    def test_attempt_without_an_outcome_is_unknown(self):
        """It may have run, be running or run later."""
        assert _tally(Outcome.NOT_RUN, begun=1).outcome is Outcome.UNKNOWN

    def test_any_answer_answers(self):
        """An earlier failure does not matter then."""
        tally = _tally(Outcome.FAILED, Outcome.ANSWERED)

        assert tally.outcome is Outcome.ANSWERED

    def test_word_of_the_home_clears_earlier_doubt(self):
        """A home's *not run* holds for all attempts before it."""
        tally = _tally(Outcome.UNKNOWN, Outcome.NOT_RUN)

        tally.prove_not_run()

        assert tally.outcome is Outcome.NOT_RUN


class TestMergeCalls:
    """The outcome of a request out of its calls."""

    def test_answered_only_if_all_are(self):
        """One failed call leaves no complete answer."""
        merged = merge_calls([Outcome.ANSWERED, Outcome.NOT_RUN])

        assert merged is Outcome.FAILED

    def test_not_run_only_if_all_are(self):
        """One dispatched lookup is enough."""
        refused = [Outcome.NOT_RUN, Outcome.NOT_RUN]

        assert merge_calls(refused) is Outcome.NOT_RUN
        merged = merge_calls([Outcome.NOT_RUN, Outcome.UNKNOWN])
        assert merged is Outcome.UNKNOWN
