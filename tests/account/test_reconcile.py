"""Tests of reconciling the counters of callers with those of nodes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.account import Account, AccountSample, Role, reconcile
from lovageshunt.calls import Outcome, RefusalReason
from tests.only import only

CALL = ('balances', 'lookup', 1)


class Simulation:
    """One caller and one node, sampled with calls in transit."""

    def __init__(self):
        self.caller = Account('phone', 'a', 0, role=Role.CALLER)
        self.node = Account('n1', 'a', 0)
        self.sent = 0
        self.at_node = 0
        self.answers = []

    def refuse(self, outcome):
        """The caller refuses a call without sending it."""
        self.caller.arrived(*CALL)
        self.caller.ended(*CALL, Outcome.NOT_RUN, RefusalReason.NO_TARGET)

    def send(self, outcome):
        """The caller sends a call."""
        self.caller.arrived(*CALL)
        self.sent += 1

    def lose(self, outcome):
        """A call is lost on its way to the node."""
        if self.sent:
            self.sent -= 1
            self.caller.ended(*CALL, Outcome.UNKNOWN, ran=True)

    def arrive(self, outcome):
        """A call arrives at the node."""
        if self.sent:
            self.sent -= 1
            self.at_node += 1
            self.node.arrived(*CALL)

    def end(self, outcome):
        """The node answers a call."""
        if self.at_node:
            self.at_node -= 1
            self.node.ended(*CALL, outcome, ran=outcome != Outcome.NOT_RUN)
            self.answers.append(outcome)

    def receive(self, outcome):
        """The caller receives the oldest answer."""
        if self.answers:
            self.caller.ended(*CALL, self.answers.pop(0), ran=True)

    def lose_answer(self, outcome):
        """The oldest answer is lost on its way to the caller."""
        if self.answers:
            self.answers.pop(0)
            self.caller.ended(*CALL, Outcome.UNKNOWN, ran=True)

    def sample(self, **fields):
        """Return the current counters of both sides."""
        return AccountSample(
            callers=self.caller.snapshot(1).lines,
            nodes=self.node.snapshot(1).lines,
            **fields,
        )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                Simulation.refuse,
                Simulation.send,
                Simulation.lose,
                Simulation.arrive,
                Simulation.end,
                Simulation.receive,
                Simulation.lose_answer,
            ],
        ),
        st.sampled_from(Outcome),
    ),
    max_size=40,
)


def run(*steps):
    """Return a simulation after the given steps, each with an answer."""
    simulation = Simulation()
    for step in steps:
        step(simulation, Outcome.ANSWERED)
    return simulation


class TestReconcile:
    """Comparison of the counters."""

    @given(before=STEPS, between=STEPS, after=STEPS)
    def test_correct_counters_never_differ(self, before, between, after):
        """Correct counters are consistent although messages are lost.

        The first sample reads callers before nodes, the second sample reads
        both later, with calls in transit throughout.
        """
        simulation = Simulation()
        for step, outcome in before:
            step(simulation, outcome)
        first = simulation.sample()
        for step, outcome in between:
            step(simulation, outcome)
        first = AccountSample(
            callers=first.callers.values(),
            nodes=simulation.sample().nodes.values(),
        )
        for step, outcome in after:
            step(simulation, outcome)

        assert not reconcile(first, simulation.sample())

    def test_calls_between_samples_are_no_difference(self):
        """Calls that progress between the two samples are no difference."""
        simulation = run(Simulation.send, Simulation.arrive)
        first = simulation.sample()
        for step in (
            Simulation.end,
            Simulation.receive,
            Simulation.send,
            Simulation.arrive,
        ):
            step(simulation, Outcome.ANSWERED)

        assert not reconcile(first, simulation.sample())

    def test_answer_that_no_node_gave_is_a_difference(self):
        """Callers count more answers than nodes gave."""
        simulation = run(
            Simulation.send,
            Simulation.arrive,
            Simulation.end,
            Simulation.receive,
        )
        simulation.node = Account('n1', 'a', 0)

        difference = only(reconcile(simulation.sample()))

        assert difference.claim == 'at callers answered <= answered at nodes'
        assert not difference.is_explained

    def test_gap_explains_missing_answers(self):
        """Missing answers of a lost node are explained by the gap."""
        simulation = run(
            Simulation.send,
            Simulation.arrive,
            Simulation.end,
            Simulation.receive,
        )
        simulation.node = Account('n1', 'a', 0)

        found = reconcile(simulation.sample(services_with_gaps=['balances']))

        assert only(found).is_explained

    def test_false_not_run_is_a_difference(self):
        """A caller that counts as not run what a node ran is reported."""
        simulation = run(Simulation.send, Simulation.arrive, Simulation.end)
        simulation.caller.ended(*CALL, Outcome.NOT_RUN, ran=True)

        claims = [found.claim for found in reconcile(simulation.sample())]

        assert 'at callers told not run <= refused at nodes' in claims

    def test_call_that_no_caller_sent_is_a_difference(self):
        """More calls arrived at a node than callers sent."""
        simulation = run(Simulation.send, Simulation.arrive)
        simulation.node.arrived(*CALL)

        difference = only(reconcile(simulation.sample()))

        assert difference.claim == 'at nodes arrived <= sent by callers'
        assert not difference.is_explained

    @pytest.mark.parametrize(
        ('callers_taken_at', 'is_explained'),
        [(5, True), (10, True), (11, False)],
    )
    def test_late_report_explains(self, callers_taken_at, is_explained):
        """A call may come from a caller that has not reported since."""
        simulation = run(
            Simulation.send,
            Simulation.arrive,
            Simulation.end,
            Simulation.receive,
        )
        first = simulation.sample(nodes_taken_at=10)
        simulation.node.arrived(*CALL)
        simulation.node.ended(*CALL, Outcome.ANSWERED, ran=True)
        first.nodes = simulation.sample().nodes

        found = reconcile(
            first,
            simulation.sample(callers_taken_at=callers_taken_at),
        )

        assert found
        assert {one.is_explained for one in found} == {is_explained}

    def test_service_that_no_caller_reports_is_explained(self):
        """Without reports of callers a difference is explained."""
        simulation = run(Simulation.send, Simulation.arrive)
        simulation.caller = Account('phone', 'a', 0, role=Role.CALLER)

        assert only(reconcile(simulation.sample())).is_explained

    def test_external_callers_are_left_out(self):
        """Calls of callers that report no account are no difference."""
        simulation = Simulation()
        simulation.node.arrived(*CALL, is_external=True)
        simulation.node.ended(*CALL, Outcome.ANSWERED, ran=True)

        assert not reconcile(simulation.sample())
