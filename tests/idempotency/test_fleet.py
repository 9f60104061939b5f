"""Several nodes under faults: no call runs twice or after *not run*."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench.run_once import Caller, CallerKind, Fleet, make_node
from lovageshunt.calls import Outcome
from lovageshunt.idempotency import Leaving, RunOnceTicked

_NAMES = ('a', 'b', 'c', 'd')
_INDEX = st.integers(0, 11)
_ENDINGS = (Outcome.ANSWERED, Outcome.ANSWERED, Outcome.UNKNOWN, Outcome.FAILED)
_ADMISSION_METHODS = ('admit', 'admit', 'refuse', 'cancel')
_WAITS_SECONDS = (0.1, 0.1, 1, 1, 6, 6, 20, 300, 950)
_MAX_CALLERS = 3


def _pick(sequence, index):
    return sequence[index % len(sequence)]


class RunOnceMachine(RuleBasedStateMachine):
    """Callers, nodes and a network that may delay or reorder any message."""

    def __init__(self):
        """Start four settled nodes that list one another."""
        super().__init__()
        self.fleet = self.make_fleet()
        self.callers = []
        self.fleet.on_answer = self._on_answer
        self.fleet.on_unsent = self._on_unsent
        for name in _NAMES:
            self.fleet.start(name, is_old=True)
        self.fleet.publish()
        self.homes = list(self.fleet.published)
        for machine in self.fleet.by_name.values():
            machine.read(self.fleet.published, self.fleet.now)
            self.fleet.settle(machine)
        self.fleet.now += 10

    def make_fleet(self):
        """Return the fleet under test."""
        return Fleet(make_node)

    @rule(kind=st.sampled_from(CallerKind), which=_INDEX, index=_INDEX)
    def send(self, kind, which, index):
        """A caller begins a call or retries one, through any node."""
        if which >= len(self.callers) and len(self.callers) < _MAX_CALLERS:
            key = str(len(self.callers))
            new_caller = Caller(key=key, kind=kind, born_at=self.fleet.now)
            self.callers.append(new_caller)
        caller = _pick(self.callers, which)
        caller.attempt(self.fleet, self.homes, lambda all_: _pick(all_, index))

    @rule(which=_INDEX, index=_INDEX, gives_up=st.booleans())
    def hop(self, which, index, gives_up):
        """A stamping service resends a call, or answers its caller."""
        if not self.callers:
            return
        caller = _pick(self.callers, which)
        if gives_up:
            caller.answer_from_hop()
            return
        caller.hop(self.fleet, self.homes, lambda all_: _pick(all_, index))

    @rule(indexes=st.lists(_INDEX, min_size=1, max_size=6))
    def deliver(self, indexes):
        """Some messages arrive in any order."""
        for index in indexes:
            if self.fleet.messages:
                at = index % len(self.fleet.messages)
                self.fleet.deliver(self.fleet.messages.pop(at))

    @rule(lost=_INDEX)
    def deliver_most(self, lost):
        """All messages in transit arrive, except one that is lost."""
        in_transit = self.fleet.messages
        self.fleet.messages = []
        for at, message in enumerate(in_transit):
            if at != lost:
                self.fleet.deliver(message)

    @rule(index=_INDEX, fate=st.sampled_from(_ADMISSION_METHODS))
    def decide(self, index, fate):
        """Queued calls are admitted, refused or cancelled."""
        for machine in self._active(index):
            for call_id in list(machine.queue):
                getattr(self.fleet, fate)(machine, call_id)

    @rule(index=_INDEX)
    def leave(self, index):
        """A node begins a planned stop, which may take long."""
        self.fleet.handle_event(self._machine(index), Leaving())

    @rule(index=_INDEX, outcome=st.sampled_from(_ENDINGS))
    def finish(self, index, outcome):
        """Running calls end."""
        for machine in self._active(index):
            for call_id in list(machine.running):
                self.fleet.finish(machine, call_id, outcome)

    @rule(index=_INDEX)
    def freeze_or_thaw(self, index):
        """A node is suspended or resumed."""
        machine = self._machine(index)
        if machine.frozen_at is None:
            self.fleet.freeze(machine)
            return
        self.fleet.thaw(machine)

    @rule(index=_INDEX, is_graceful=st.booleans(), is_renamed=st.booleans())
    def replace(self, index, is_graceful, is_renamed):
        """A VM is lost or stopped, and another one replaces it."""
        machine = self._machine(index)
        if is_graceful and machine.frozen_at is None:
            self.fleet.drain(machine)
        else:
            self.fleet.kill(machine)
        name = machine.home.node
        if is_renamed:
            name = f'{name}{len(self.homes)}'
        self.homes.append(self.fleet.start(name).home)

    @rule(index=_INDEX, hidden=_INDEX)
    def learn(self, index, hidden):
        """Nodes read a list that may omit one, and confirm one another."""
        self.fleet.publish()
        del self.fleet.published[hidden : hidden + 1]
        for machine in self._active(index):
            machine.read(self.fleet.published, self.fleet.now)
            self.fleet.settle(machine)

    @rule(sides=st.sampled_from((0, 0, 1, 3, 5, 8)))
    def cut(self, sides):
        """The network is partitioned, or a partition ends."""
        for bit, machine in enumerate(self.fleet.by_name.values()):
            machine.partition = sides >> bit & 1

    @rule(seconds=st.sampled_from(_WAITS_SECONDS))
    def wait(self, seconds):
        """Time passes."""
        self.fleet.now += seconds
        for machine in self._active(len(_NAMES)):
            self.fleet.handle_event(machine, RunOnceTicked())

    @invariant()
    def calls_run_at_most_once(self):
        """Each call runs at most once, and never after *not run*."""
        for caller in self.callers:
            executions = self.fleet.executions[caller.key]
            assert not caller.breaks_at_most_once(executions)

    def _on_answer(self, call_id, outcome):
        key = int(call_id.split('/')[0])
        self.callers[key].record_answer(call_id, outcome)

    def _on_unsent(self, call_id):
        self.callers[int(call_id.split('/')[0])].undo_attempt(call_id)

    def _machine(self, index):
        return _pick(list(self.fleet.by_name.values()), index)

    def _active(self, index):
        """Return the node at an index, or every node if there is none.

        Suspended nodes are left out.
        """
        machines = list(self.fleet.by_name.values())
        if index >= len(machines):
            return [each for each in machines if each.frozen_at is None]
        return [machines[index]] if machines[index].frozen_at is None else []


TestRunOnceMachine = RunOnceMachine.TestCase
TestRunOnceMachine.settings = settings(
    max_examples=60,
    stateful_step_count=60,
)
