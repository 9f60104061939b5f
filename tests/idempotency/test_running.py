"""Handling of a call from admission until its result."""

import pytest

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.idempotency import (
    AnswerNotRun,
    AnswerUnknown,
    Completed,
    Ending,
    Replay,
    Run,
)
from tests.idempotency.nodes import (
    ANSWERED,
    HIGHER,
    LOWER,
    ME,
    NOW,
    dispatch,
    make_node,
    promise,
    refuse,
    requested,
)
from tests.only import only


class TestEnding:
    """The result of a dispatched call is final."""

    def test_crash_is_never_rerun(self, node):
        """A call whose target crashed stays unknown."""
        node.handle(requested('x', 1), NOW)
        dispatch(node, 'x')
        ending = Ending(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.TARGET_FAILED,
        )
        node.handle(Completed(key='k', ending=ending), NOW)

        assert node.handle(requested('y', 2), NOW) == [
            Replay(call_id='y', ending=ending),
        ]

    @pytest.mark.parametrize('bound', ['max_answer_bytes', 'max_table_bytes'])
    def test_large_answer_is_not_replayed_truncated(self, bound):
        """Later attempts get *failed* if the answer is too large to store."""
        node = make_node(**{bound: 1})
        node.handle(requested('x', 1), NOW)
        dispatch(node, 'x')
        node.handle(Completed(key='k', ending=ANSWERED), NOW)

        replay = only(node.handle(requested('y', 2), NOW))

        assert replay.ending.outcome is Outcome.FAILED
        assert replay.ending.answer is None

    def test_entry_expires_after_the_oldest_resend(self, node):
        """A resend older than the retention time is unknown and not run."""
        node.handle(requested('x', 1), NOW)
        later = NOW + 931

        answer = only(node.handle(requested('y', 2, age_ms=931_100), later))

        assert isinstance(answer, AnswerUnknown)
        assert node.entry_count == 0


class TestRefused:
    """A refusal as not run also blocks earlier attempts that arrive late."""

    def test_stamped_resend_leaves_a_tombstone(self, node):
        """The first attempt does not run when it arrives late."""
        node.handle(requested('x', 2, stamp=ME), NOW)

        refusal = only(refuse(node))
        late = only(node.handle(requested('y', 1, stamp=ME), NOW))

        assert isinstance(refusal, AnswerNotRun)
        assert isinstance(late, AnswerNotRun)

    def test_next_attempt_may_run(self, node):
        """A caller that retries after not run is served."""
        node.handle(requested('x', 2, stamp=ME), NOW)
        refuse(node)

        assert node.handle(requested('y', 3, stamp=ME), NOW) == [
            Run(call_id='y'),
        ]

    def test_attempt_without_a_number_is_never_answered_not_run(self, node):
        """Earlier and later sends of it cannot be distinguished."""
        node.handle(requested('x', 0), NOW)
        promise(node, LOWER)
        promise(node, HIGHER)

        refusal = only(refuse(node))

        assert isinstance(refusal, AnswerUnknown)

    def test_refused_first_attempt_leaves_no_entry(self, node):
        """It is a single message, so its refusal needs no tombstone."""
        node.handle(requested('x', 1), NOW)
        refuse(node)

        assert node.entry_count == 0
