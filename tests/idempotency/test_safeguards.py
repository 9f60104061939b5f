"""Each safeguard is needed: a short scenario shows the fault without it."""

import pytest

from bench.run_once import Caller, CallerKind, Fleet, make_node
from lovageshunt.calls import HomeNode
from lovageshunt.idempotency import (
    AnswerInquiry,
    AttemptReceived,
    Claim,
    InquiryAnswer,
    InquiryAnswered,
    InquiryFailed,
    InquiryReceived,
    Resumed,
    RunOnce,
    RunOnceSettings,
    Settled,
)


def _promise(answerer):
    return InquiryAnswer(claim=Claim.WILL_NOT_RUN, answerer=answerer)


_DELIVERY_ROUNDS = 6


class _UnsafeNode(RunOnce):
    """Base class of nodes that lack one safeguard."""

    @classmethod
    def make(cls, home: HomeNode, started_at: float):
        """Return a node of this class with the default settings."""
        return cls(
            node=home.node,
            incarnation=home.incarnation,
            service='payments',
            started_at=started_at,
            settings=RunOnceSettings(),
        )

    def forget(self, state):
        """Drop the entries of one state of the chart."""
        for entry in list(self._state.entry_by_key.values()):
            if entry.state == state:
                self._state.drop(entry)


class _WithoutInquiry(_UnsafeNode):
    def handle(self, event, now):
        if isinstance(event, AttemptReceived):
            event.peers = ()
        return super().handle(event, now)


class _WithoutPromise(_UnsafeNode):
    def handle(self, event, now):
        actions = super().handle(event, now)
        self.forget('elsewhere')
        return actions


class _WithoutTombstone(_UnsafeNode):
    def handle(self, event, now):
        actions = super().handle(event, now)
        self.forget('refused')
        return actions


class _WithoutInquiryFailure(_UnsafeNode):
    def handle(self, event, now):
        if isinstance(event, InquiryFailed):
            event = InquiryAnswered(
                **event.as_dict(),
                answer=_promise(event.peer),
            )
        return super().handle(event, now)


class _WithoutDeparted(_UnsafeNode):
    def handle(self, event, now):
        if isinstance(event, AttemptReceived | InquiryReceived):
            event.gone = ()
        return super().handle(event, now)


class _WithoutIdentity(_UnsafeNode):
    def handle(self, event, now):
        if isinstance(event, InquiryAnswered):
            event.answer.answerer = event.peer
        return super().handle(event, now)


class _WithoutWitness(_UnsafeNode):
    def handle(self, event, now):
        if isinstance(event, InquiryAnswered):
            event.answer.is_witness = True
        return super().handle(event, now)


class _WithoutSettling(_UnsafeNode):
    def handle(self, event, now):
        super().handle(Settled(), 0)
        self._state.settled_at = 0
        return super().handle(event, now)


class _WithoutRank(_UnsafeNode):
    def handle(self, event, now):
        if (
            isinstance(event, InquiryReceived)
            and event.key in self._state.inquiring
        ):
            yielded = AnswerInquiry(
                key=event.key,
                asker=event.asker,
                number=event.number,
                answer=_promise(self.home),
            )
            return [yielded]
        return super().handle(event, now)


class _WithoutResuming(_UnsafeNode):
    def handle(self, event, now):
        return [] if isinstance(event, Resumed) else super().handle(event, now)


class _WithoutSettlingAgain(_UnsafeNode):
    def handle(self, event, now):
        settled_at = self._state.settled_at
        actions = super().handle(event, now)
        if isinstance(event, Resumed):
            self._state.settled_at = settled_at
        return actions


class _Scenario:
    """Three settled nodes and one caller."""

    def __init__(self, factory, kind=CallerKind.NUMBERED):
        """Start the nodes a, b and c, which list one another."""
        self.fleet = Fleet(factory)
        for name in 'abc':
            self.fleet.start(name, is_old=True)
        self.learn()
        self.fleet.now += 30
        self.caller = Caller(key='0', kind=kind, born_at=self.fleet.now)
        self.fleet.on_answer = self.caller.record_answer

    def learn(self, hidden=''):
        """Let every node read a list without ``hidden`` and be confirmed."""
        self.fleet.publish()
        machines = list(self.fleet.by_name.values())
        published = [
            each for each in self.fleet.published if each.node != hidden
        ]
        for machine in machines:
            machine.read(published, self.fleet.now)
            self.fleet.settle(machine)

    def send(self, name):
        """Return the message of the next attempt to a node, undelivered."""
        home = self.fleet.by_name[name].home
        self.caller.attempt(self.fleet, [home], lambda homes: homes[0])
        return self.fleet.messages.pop()

    def arrive(self, *messages, is_refused=False):
        """Deliver messages and all that follow from them; decide admission."""
        self.fleet.messages.extend(messages)
        for _ in range(_DELIVERY_ROUNDS):
            in_transit = self.fleet.messages
            self.fleet.messages = []
            for message in in_transit:
                self.fleet.deliver(message)
        for machine in list(self.fleet.by_name.values()):
            for call_id in list(machine.queue):
                decide = self.fleet.refuse if is_refused else self.fleet.admit
                decide(machine, call_id)

    def violates_at_most_once(self):
        """Return whether the call ran twice, or ran after *not run*."""
        return self.caller.breaks_at_most_once(self.fleet.executions['0'])


def _resend_elsewhere(factory):
    scenario = _Scenario(factory)
    scenario.arrive(scenario.send('a'))
    scenario.arrive(scenario.send('b'))
    return scenario


def _late_first_attempt(factory):
    scenario = _Scenario(factory)
    first = scenario.send('a')
    scenario.arrive(scenario.send('b'))
    scenario.arrive(first)
    return scenario


def _refused_resend(factory):
    scenario = _Scenario(factory, CallerKind.LIBRARY)
    first = scenario.send('a')
    scenario.arrive(scenario.send('a'), is_refused=True)
    scenario.arrive(first)
    return scenario


def _resend_across_a_partition(factory):
    scenario = _Scenario(factory)
    scenario.arrive(scenario.send('a'))
    scenario.fleet.by_name['a'].partition = 1
    scenario.arrive(scenario.send('b'))
    return scenario


def _resend_after_replacement(factory):
    scenario = _Scenario(factory)
    scenario.arrive(scenario.send('a'))
    scenario.fleet.kill(scenario.fleet.by_name['a'])
    scenario.fleet.start('a')
    scenario.learn()
    scenario.arrive(scenario.send('b'))
    return scenario


def _resend_after_all_were_replaced(factory):
    scenario = _Scenario(factory)
    scenario.arrive(scenario.send('a'))
    scenario.fleet.by_name.clear()
    scenario.fleet.published = []
    scenario.fleet.now += 1
    for name in 'abc':
        scenario.fleet.start(name)
    scenario.learn()
    scenario.arrive(scenario.send('b'))
    return scenario


def _node_that_nobody_lists(factory):
    scenario = _Scenario(factory)
    scenario.fleet.start('d')
    scenario.arrive(scenario.send('d'))
    scenario.arrive(scenario.send('b'))
    return scenario


def _two_resends_at_once(factory):
    scenario = _Scenario(factory, CallerKind.UNNUMBERED)
    scenario.arrive(scenario.send('a'), scenario.send('b'))
    return scenario


def _resume_after_long_suspension(factory):
    scenario = _Scenario(factory)
    suspended = scenario.fleet.by_name['a']
    scenario.fleet.freeze(suspended)
    scenario.learn(hidden='a')
    scenario.fleet.now += 1000
    scenario.caller.born_at = scenario.fleet.now
    scenario.arrive(scenario.send('a'))
    scenario.arrive(scenario.send('b'))
    scenario.fleet.thaw(suspended)
    scenario.arrive()
    return scenario


def _call_at_a_forgotten_node(factory):
    scenario = _Scenario(factory)
    suspended = scenario.fleet.by_name['a']
    scenario.fleet.freeze(suspended)
    scenario.learn(hidden='a')
    scenario.fleet.now += 1000
    scenario.fleet.thaw(suspended)
    scenario.fleet.now += 60
    scenario.caller.born_at = scenario.fleet.now
    scenario.arrive(scenario.send('a'))
    scenario.arrive(scenario.send('b'))
    return scenario


_SCENARIOS = (
    (_WithoutInquiry, _resend_elsewhere),
    (_WithoutPromise, _late_first_attempt),
    (_WithoutTombstone, _refused_resend),
    (_WithoutInquiryFailure, _resend_across_a_partition),
    (_WithoutDeparted, _resend_after_replacement),
    (_WithoutIdentity, _resend_after_replacement),
    (_WithoutWitness, _resend_after_all_were_replaced),
    (_WithoutSettling, _node_that_nobody_lists),
    (_WithoutRank, _two_resends_at_once),
    (_WithoutResuming, _resume_after_long_suspension),
    (_WithoutSettlingAgain, _call_at_a_forgotten_node),
)


class TestSafeguards:
    """The fault that each safeguard prevents."""

    @pytest.mark.parametrize(('unsafe_node', 'run_scenario'), _SCENARIOS)
    def test_fault_without_the_safeguard(self, unsafe_node, run_scenario):
        """The call runs twice, or runs after *not run* was answered."""
        assert run_scenario(unsafe_node.make).violates_at_most_once()

    @pytest.mark.parametrize(('unsafe_node', 'run_scenario'), _SCENARIOS)
    def test_no_fault_with_the_safeguard(self, unsafe_node, run_scenario):
        """The same scenario has no fault with the real nodes."""
        assert not run_scenario(make_node).violates_at_most_once()
