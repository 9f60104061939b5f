"""Each safeguard is needed: without it one short scene wrongs a caller."""

import pytest

from bench.run_once import Caller, CallerKind, Fleet, make_node
from lovageshunt.calls import HomeStamp
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


_ROUNDS = 6


class _Naive(RunOnce):
    """A node without one safeguard."""

    @classmethod
    def make(cls, home: HomeStamp, started_at: float):
        """Return a node of this kind."""
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


class _WithoutInquiry(_Naive):
    def handle(self, event, now):
        if isinstance(event, AttemptReceived):
            event.peers = ()
        return super().handle(event, now)


class _WithoutPromise(_Naive):
    def handle(self, event, now):
        actions = super().handle(event, now)
        self.forget('elsewhere')
        return actions


class _WithoutTombstone(_Naive):
    def handle(self, event, now):
        actions = super().handle(event, now)
        self.forget('refused')
        return actions


class _WithoutDoubt(_Naive):
    def handle(self, event, now):
        if isinstance(event, InquiryFailed):
            event = InquiryAnswered(
                **event.as_dict(),
                answer=_promise(event.peer),
            )
        return super().handle(event, now)


class _WithoutDeparted(_Naive):
    def handle(self, event, now):
        if isinstance(event, AttemptReceived | InquiryReceived):
            event.gone = ()
        return super().handle(event, now)


class _WithoutIdentity(_Naive):
    def handle(self, event, now):
        if isinstance(event, InquiryAnswered):
            event.answer.answerer = event.peer
        return super().handle(event, now)


class _WithoutWitness(_Naive):
    def handle(self, event, now):
        if isinstance(event, InquiryAnswered):
            event.answer.is_witness = True
        return super().handle(event, now)


class _WithoutSettling(_Naive):
    def handle(self, event, now):
        super().handle(Settled(), 0)
        self._state.settled_at = 0
        return super().handle(event, now)


class _WithoutRank(_Naive):
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


class _WithoutWaking(_Naive):
    def handle(self, event, now):
        return [] if isinstance(event, Resumed) else super().handle(event, now)


class _WithoutSettlingAnew(_Naive):
    def handle(self, event, now):
        settled_at = self._state.settled_at
        actions = super().handle(event, now)
        if isinstance(event, Resumed):
            self._state.settled_at = settled_at
        return actions


class _Scene:
    """Three nodes and one caller."""

    def __init__(self, factory, kind=CallerKind.NUMBERED):
        """Start the nodes a, b and c, which know one another."""
        self.fleet = Fleet(factory)
        for name in 'abc':
            self.fleet.start(name, is_old=True)
        self.learn()
        self.fleet.now += 30
        self.caller = Caller(key='0', kind=kind, born_at=self.fleet.now)
        self.fleet.on_answer = self.caller.hear

    def learn(self, hidden=''):
        """Let every node read a list and make itself known."""
        self.fleet.publish()
        machines = list(self.fleet.by_name.values())
        published = [
            each for each in self.fleet.published if each.node != hidden
        ]
        for machine in machines:
            machine.read(published, self.fleet.now)
            self.fleet.settle(machine)

    def send(self, name):
        """Send the next attempt to a node; return the message, not sent."""
        home = self.fleet.by_name[name].home
        self.caller.attempt(self.fleet, [home], lambda homes: homes[0])
        return self.fleet.messages.pop()

    def arrive(self, *messages, is_refused=False):
        """Let messages arrive and everything that follows from them."""
        self.fleet.messages.extend(messages)
        for _ in range(_ROUNDS):
            moving = self.fleet.messages
            self.fleet.messages = []
            for message in moving:
                self.fleet.deliver(message)
        for machine in list(self.fleet.by_name.values()):
            for call_id in list(machine.queue):
                act = self.fleet.refuse if is_refused else self.fleet.admit
                act(machine, call_id)

    def is_wronged(self):
        """Return whether the caller's call ran too often."""
        return self.caller.is_wronged(self.fleet.executions['0'])


def _resend_elsewhere(factory):
    scene = _Scene(factory)
    scene.arrive(scene.send('a'))
    scene.arrive(scene.send('b'))
    return scene


def _late_first_attempt(factory):
    scene = _Scene(factory)
    first = scene.send('a')
    scene.arrive(scene.send('b'))
    scene.arrive(first)
    return scene


def _refused_resend(factory):
    scene = _Scene(factory, CallerKind.LIBRARY)
    first = scene.send('a')
    scene.arrive(scene.send('a'), is_refused=True)
    scene.arrive(first)
    return scene


def _resend_across_a_cut(factory):
    scene = _Scene(factory)
    scene.arrive(scene.send('a'))
    scene.fleet.by_name['a'].side = 1
    scene.arrive(scene.send('b'))
    return scene


def _resend_after_replacement(factory):
    scene = _Scene(factory)
    scene.arrive(scene.send('a'))
    scene.fleet.kill(scene.fleet.by_name['a'])
    scene.fleet.start('a')
    scene.learn()
    scene.arrive(scene.send('b'))
    return scene


def _resend_after_all_were_replaced(factory):
    scene = _Scene(factory)
    scene.arrive(scene.send('a'))
    scene.fleet.by_name.clear()
    scene.fleet.published = []
    scene.fleet.now += 1
    for name in 'abc':
        scene.fleet.start(name)
    scene.learn()
    scene.arrive(scene.send('b'))
    return scene


def _node_that_nobody_lists(factory):
    scene = _Scene(factory)
    scene.fleet.start('d')
    scene.arrive(scene.send('d'))
    scene.arrive(scene.send('b'))
    return scene


def _two_resends_at_once(factory):
    scene = _Scene(factory, CallerKind.UNNUMBERED)
    scene.arrive(scene.send('a'), scene.send('b'))
    return scene


def _wake_after_long(factory):
    scene = _Scene(factory)
    frozen = scene.fleet.by_name['a']
    scene.fleet.freeze(frozen)
    scene.learn(hidden='a')
    scene.fleet.now += 1000
    scene.caller.born_at = scene.fleet.now
    scene.arrive(scene.send('a'))
    scene.arrive(scene.send('b'))
    scene.fleet.thaw(frozen)
    scene.arrive()
    return scene


def _purchase_at_a_forgotten_node(factory):
    scene = _Scene(factory)
    frozen = scene.fleet.by_name['a']
    scene.fleet.freeze(frozen)
    scene.learn(hidden='a')
    scene.fleet.now += 1000
    scene.fleet.thaw(frozen)
    scene.fleet.now += 60
    scene.caller.born_at = scene.fleet.now
    scene.arrive(scene.send('a'))
    scene.arrive(scene.send('b'))
    return scene


_SCENES = (
    (_WithoutInquiry, _resend_elsewhere),
    (_WithoutPromise, _late_first_attempt),
    (_WithoutTombstone, _refused_resend),
    (_WithoutDoubt, _resend_across_a_cut),
    (_WithoutDeparted, _resend_after_replacement),
    (_WithoutIdentity, _resend_after_replacement),
    (_WithoutWitness, _resend_after_all_were_replaced),
    (_WithoutSettling, _node_that_nobody_lists),
    (_WithoutRank, _two_resends_at_once),
    (_WithoutWaking, _wake_after_long),
    (_WithoutSettlingAnew, _purchase_at_a_forgotten_node),
)


class TestSafeguards:
    """What one safeguard is for."""

    @pytest.mark.parametrize(('naive', 'play'), _SCENES)
    def test_scene_wrongs_the_caller_without_it(self, naive, play):
        """The call runs twice, or runs though *not run* was told."""
        assert play(naive.make).is_wronged()

    @pytest.mark.parametrize(('naive', 'play'), _SCENES)
    def test_scene_wrongs_nobody_with_it(self, naive, play):
        """The same scene is harmless at the real node."""
        assert not play(make_node).is_wronged()
