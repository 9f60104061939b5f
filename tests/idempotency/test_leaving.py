"""Hand-over of entries from a leaving node to its peers."""

from lovageshunt.calls import RefusalReason
from lovageshunt.idempotency import (
    AnswerInquiry,
    AnswerUnknown,
    Completed,
    Drained,
    HandOverReceived,
    InquiryFailed,
    InquiryReceived,
    Leaving,
    Replay,
    Run,
    RunOnce,
    RunOnceSettings,
)
from tests.idempotency.nodes import (
    ANSWERED,
    HIGHER,
    LOWER,
    ME,
    NOW,
    dispatch,
    promise,
    refuse,
    requested,
)
from tests.only import only


class TestLeaving:
    """A planned stop hands over the entries of the node."""

    def test_leaving_node_refuses_first_attempts(self, node):
        """The caller can retry at another node at once."""
        node.handle(Leaving(), NOW)

        refusal = only(node.handle(requested('x', 1), NOW))

        assert refusal.reason is RefusalReason.LEAVING

    def test_old_resend_is_unknown_at_a_leaving_node(self, node):
        """It may have run here and its entry may have expired."""
        node.handle(Leaving(), NOW)
        old = requested('x', 2, stamp=ME, age_ms=901_000)

        assert isinstance(only(node.handle(old, NOW)), AnswerUnknown)

    def test_leaving_node_does_not_run_what_it_refused(self, node):
        """It handed over that the call did not run."""
        node.handle(requested('x', 2, stamp=ME), NOW)
        refuse(node)
        node.handle(Drained(), NOW)

        answer = only(node.handle(requested('y', 3, stamp=ME), NOW))

        assert isinstance(answer, AnswerUnknown)

    def test_receiver_answers_for_the_leaver(self, node):
        """A resend gets the result that was handed over."""
        node.handle(requested('x', 1), NOW)
        dispatch(node, 'x')
        node.handle(Completed(key='k', ending=ANSWERED), NOW)
        handed = only(node.handle(Drained(), NOW))
        receiver = RunOnce(
            node='c',
            incarnation='1',
            service='payments',
            started_at=0,
            settings=RunOnceSettings(),
        )

        receiver.handle(
            HandOverReceived(leaver=ME, entries=handed.entries), NOW
        )

        assert receiver.handle(requested('y', 2), NOW) == [
            Replay(call_id='y', ending=ANSWERED),
        ]

    def test_receiver_covers_the_leaver(self, node):
        """An inquiry succeeds although the leaver cannot be asked."""
        node.handle(requested('x', 2), NOW)
        node.handle(InquiryFailed(key='k', peer=HIGHER, number=1), NOW)

        actions = promise(node, LOWER, covered=(HIGHER,))

        assert actions == [Run(call_id='x')]

    def test_answer_lists_the_covered(self, node):
        """A node reports the peers that handed their entries to it."""
        node.handle(HandOverReceived(leaver=HIGHER, entries=()), NOW)

        answered = only(
            node.handle(
                InquiryReceived(key='k', asker=LOWER, age_ms=1, number=1),
                NOW,
            )
        )

        assert isinstance(answered, AnswerInquiry)
        assert answered.answer.covered == (HIGHER,)
