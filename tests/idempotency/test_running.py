"""What is done with a call on its way to the target and after it."""

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
    """How a dispatched call ended stays so."""

    def test_crash_is_never_rerun(self, node):
        """A call whose target went down stays unknown."""
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
    def test_large_answer_is_not_given_cut(self, bound):
        """An answer too large to keep is failed for later attempts."""
        node = make_node(**{bound: 1})
        node.handle(requested('x', 1), NOW)
        dispatch(node, 'x')
        node.handle(Completed(key='k', ending=ANSWERED), NOW)

        replay = only(node.handle(requested('y', 2), NOW))

        assert replay.ending.outcome is Outcome.FAILED
        assert replay.ending.answer is None

    def test_entry_expires_after_the_oldest_resend(self, node):
        """A resend older than retention is unknown, not run anew."""
        node.handle(requested('x', 1), NOW)
        later = NOW + 931

        answer = only(node.handle(requested('y', 2, age_ms=931_100), later))

        assert isinstance(answer, AnswerUnknown)
        assert node.entry_count == 0


class TestRefused:
    """A refusal as not run holds for earlier attempts that come late."""

    def test_stamped_resend_leaves_a_tombstone(self, node):
        """The first attempt, arriving late, does not run."""
        node.handle(requested('x', 2, stamp=ME), NOW)

        told = only(refuse(node))
        late = only(node.handle(requested('y', 1, stamp=ME), NOW))

        assert isinstance(told, AnswerNotRun)
        assert isinstance(late, AnswerNotRun)

    def test_next_attempt_may_run(self, node):
        """The caller that tries again after not run is served."""
        node.handle(requested('x', 2, stamp=ME), NOW)
        refuse(node)

        assert node.handle(requested('y', 3, stamp=ME), NOW) == [
            Run(call_id='y'),
        ]

    def test_attempt_without_a_number_is_never_told_not_run(self, node):
        """Its earlier sends cannot be told from its later ones."""
        node.handle(requested('x', 0), NOW)
        promise(node, LOWER)
        promise(node, HIGHER)

        told = only(refuse(node))

        assert isinstance(told, AnswerUnknown)

    def test_refused_first_attempt_leaves_no_entry(self, node):
        """It is one message, so the refusal needs no memory."""
        node.handle(requested('x', 1), NOW)
        refuse(node)

        assert node.entry_count == 0
