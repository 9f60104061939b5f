"""The check of callers' figures against nodes' figures."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.account import Account, AccountSample, Role, reconcile
from lovageshunt.calls import Outcome, RefusalReason
from tests.only import only

CALL = ('balances', 'lookup', 1)


class World:
    """One caller and one node, whose accounts are read mid-flight."""

    def __init__(self):
        self.caller = Account('phone', 'a', 0, role=Role.CALLER)
        self.node = Account('n1', 'a', 0)
        self.sent = 0
        self.at_node = 0
        self.answers = []

    def refuse(self, outcome):
        """The caller refuses a call itself."""
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
        """The caller has the oldest answer."""
        if self.answers:
            self.caller.ended(*CALL, self.answers.pop(0), ran=True)

    def lose_answer(self, outcome):
        """The oldest answer is lost on its way to the caller."""
        if self.answers:
            self.answers.pop(0)
            self.caller.ended(*CALL, Outcome.UNKNOWN, ran=True)

    def reading(self, **fields):
        """Return the figures of this moment."""
        return AccountSample(
            callers=self.caller.snapshot(1).lines,
            nodes=self.node.snapshot(1).lines,
            **fields,
        )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                World.refuse,
                World.send,
                World.lose,
                World.arrive,
                World.end,
                World.receive,
                World.lose_answer,
            ],
        ),
        st.sampled_from(Outcome),
    ),
    max_size=40,
)


def run(*steps):
    """Return a world after steps that all end in an answer."""
    world = World()
    for step in steps:
        step(world, Outcome.ANSWERED)
    return world


class TestReconcile:
    """Reconciling."""

    @given(before=STEPS, between=STEPS, after=STEPS)
    def test_honest_figures_never_differ(self, before, between, after):
        """Readings taken at different moments of a lossy world agree.

        Callers are read before nodes the first time and after them the
        second time, with calls on their way all along.
        """
        world = World()
        for step, outcome in before:
            step(world, outcome)
        first = world.reading()
        for step, outcome in between:
            step(world, outcome)
        first = AccountSample(
            callers=first.callers.values(),
            nodes=world.reading().nodes.values(),
        )
        for step, outcome in after:
            step(world, outcome)

        assert not reconcile(first, world.reading())

    def test_calls_between_readings_are_no_difference(self):
        """What moves on between the two readings contradicts nothing."""
        world = run(World.send, World.arrive)
        first = world.reading()
        for step in (World.end, World.receive, World.send, World.arrive):
            step(world, Outcome.ANSWERED)

        assert not reconcile(first, world.reading())

    def test_answer_that_no_node_gave_is_a_difference(self):
        """A caller was answered more often than nodes answered."""
        world = run(World.send, World.arrive, World.end, World.receive)
        world.node = Account('n1', 'a', 0)

        difference = only(reconcile(world.reading()))

        assert difference.claim == 'at callers answered <= answered at nodes'
        assert not difference.is_explained

    def test_hole_explains_missing_answers(self):
        """Answers that a lost node gave are missed, and the hole says why."""
        world = run(World.send, World.arrive, World.end, World.receive)
        world.node = Account('n1', 'a', 0)

        found = reconcile(world.reading(services_with_gaps=['balances']))

        assert only(found).is_explained

    def test_false_not_run_is_a_difference(self):
        """A caller that says not run of what a node ran is found out."""
        world = run(World.send, World.arrive, World.end)
        world.caller.ended(*CALL, Outcome.NOT_RUN, ran=True)

        claims = [found.claim for found in reconcile(world.reading())]

        assert 'at callers told not run <= refused at nodes' in claims

    def test_call_that_no_caller_sent_is_a_difference(self):
        """More arrived at a node than callers sent."""
        world = run(World.send, World.arrive)
        world.node.arrived(*CALL)

        difference = only(reconcile(world.reading()))

        assert difference.claim == 'at nodes arrived <= sent by callers'
        assert not difference.is_explained

    @pytest.mark.parametrize(
        ('callers_taken_at', 'is_explained'),
        [(5, True), (10, True), (11, False)],
    )
    def test_late_report_explains(self, callers_taken_at, is_explained):
        """Callers that have not reported since the nodes may have sent it."""
        world = run(World.send, World.arrive, World.end, World.receive)
        first = world.reading(nodes_taken_at=10)
        world.node.arrived(*CALL)
        world.node.ended(*CALL, Outcome.ANSWERED, ran=True)
        first.nodes = world.reading().nodes

        found = reconcile(
            first,
            world.reading(callers_taken_at=callers_taken_at),
        )

        assert found
        assert {one.is_explained for one in found} == {is_explained}

    def test_service_that_no_caller_reports_is_explained(self):
        """Without any caller's figures of a service nothing is claimed."""
        world = run(World.send, World.arrive)
        world.caller = Account('phone', 'a', 0, role=Role.CALLER)

        assert only(reconcile(world.reading())).is_explained

    def test_external_callers_are_left_out(self):
        """Calls of callers that keep no account are no difference."""
        world = World()
        world.node.arrived(*CALL, is_external=True)
        world.node.ended(*CALL, Outcome.ANSWERED, ran=True)

        assert not reconcile(world.reading())
