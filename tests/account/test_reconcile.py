"""The check of callers' figures against nodes' figures."""

from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.account import Account, Role, reconcile
from lovageshunt.calls import Outcome, RefusalReason

CALL = ('balances', 'lookup', 1)
#: How a node ended a call, and whether its answer reached the caller.
ENDS = st.lists(
    st.tuples(st.sampled_from(Outcome), st.booleans(), st.booleans()),
    max_size=30,
)


def accounts_of(ends):
    """Return a caller's and a node's lines after calls that ended so."""
    caller = Account('phone', 'a', 0, role=Role.CALLER)
    node = Account('n1', 'a', 0)
    for outcome, reached_node, reached_caller in ends:
        caller.arrived(*CALL)
        if not reached_node:
            caller.ended(*CALL, Outcome.NOT_RUN, RefusalReason.NO_TARGET)
            continue
        node.arrived(*CALL)
        node.ended(*CALL, outcome, ran=outcome is not Outcome.NOT_RUN)
        seen = outcome if reached_caller else Outcome.UNKNOWN
        caller.ended(*CALL, seen, ran=True)
    return caller.snapshot(1.0).lines, node.snapshot(1.0).lines


class TestReconcile:
    """Reconciling."""

    @given(ends=ENDS)
    def test_lost_answers_are_no_contradiction(self, ends):
        """Answers lost on the way and calls never sent are explained."""
        assert not reconcile(*accounts_of(ends))

    def test_answer_that_no_node_gave_is_a_difference(self):
        """A caller that was answered more often than nodes answered."""
        callers, _ = accounts_of([(Outcome.ANSWERED, True, True)])

        claims = [found.claim for found in reconcile(callers, [])]

        assert 'answered at callers <= answered at nodes' in claims

    def test_call_that_no_caller_sent_is_a_difference(self):
        """A node at which more arrived than callers sent."""
        _, nodes = accounts_of([(Outcome.ANSWERED, True, True)])

        claims = [found.claim for found in reconcile([], nodes)]

        assert 'arrived at nodes <= sent by callers' in claims

    def test_external_callers_are_left_out(self):
        """Calls of callers that keep no account are no difference."""
        node = Account('n1', 'a', 0)
        node.arrived(*CALL, is_external=True)
        node.ended(*CALL, Outcome.ANSWERED, ran=True)

        assert not reconcile([], node.snapshot(1.0).lines)
