"""The nodes of one service, and everything that happens to them."""

from bench.run_once._machine import Machine, NodeFactory, make_node
from bench.run_once._messages import AnswerMessage
from bench.run_once._network import Network
from lovageshunt.calls import HomeStamp, Outcome, RefusalReason
from lovageshunt.idempotency import (
    Completed,
    DispatchDue,
    Drained,
    Ending,
    HandOver,
    HandOverReceived,
    Leaving,
    Refused,
    Resumed,
    Settled,
    StoredAnswer,
    WaiterCancelled,
)

_OLD_SECONDS = 1000
_HEIRS = 2
_ANSWER = StoredAnswer(status=200, headers=(), body=b'done')


class Fleet(Network):
    """A network with a published list, and its faults."""

    def __init__(self, factory: NodeFactory = make_node) -> None:
        """Begin empty."""
        super().__init__()
        self.published: list[HomeStamp] = []
        self._factory = factory
        self._started = 0

    def start(self, name: str, *, is_old: bool = False) -> Machine:
        """Put a fresh node at a name, in place of any earlier one."""
        self._started += 1
        home = HomeStamp(node=name, incarnation=f'{name}{self._started}')
        born_at = self.now - _OLD_SECONDS if is_old else self.now
        machine = Machine(home, self._factory(home, born_at))
        self.by_name[name] = machine
        machine.listed = list(self.published)
        others = [each for each in self.published if each.node != name]
        machine.read([*others, home], self.now)
        return machine

    def publish(self) -> None:
        """Bring the published list up to date."""
        self.published = [each.home for each in self.by_name.values()]

    def settle(self, machine: Machine) -> None:
        """Let a node make itself known; it settles when all confirm."""
        reached = [self.reach(machine, home) for home in machine.listed]
        met = [
            peer
            for peer in reached
            if peer is not None and peer.frozen_at is None
        ]
        for peer in met:
            if machine.home not in peer.listed:
                peer.listed.append(machine.home)
        if len(met) == len(machine.listed):
            self.handle_event(machine, Settled())

    def kill(self, machine: Machine) -> None:
        """Lose a VM with everything on it."""
        self.by_name.pop(machine.home.node)

    def freeze(self, machine: Machine) -> None:
        """Suspend a node; what reaches it waits in its buffers."""
        machine.frozen_at = self.now

    def thaw(self, machine: Machine) -> None:
        """Wake a node; it reads what had waited."""
        if machine.frozen_at is None:
            return
        gap = self.now - machine.frozen_at
        machine.frozen_at = None
        held = machine.held
        machine.held = []
        self.handle_event(machine, Resumed(gap_seconds=gap))
        for message in held:
            self.receive(machine, message)

    def drain(self, machine: Machine) -> None:
        """Stop a node as planned and hand its calls to two peers."""
        for call_id in tuple(machine.running):
            self.finish(machine, call_id, Outcome.ANSWERED)
        self.handle_event(machine, Leaving())
        handed = machine.node.handle(Drained(), self.now)
        reached = [self.reach(machine, home) for home in machine.listed]
        heirs = [
            peer
            for peer in reached
            if peer is not None and peer.frozen_at is None
        ]
        for action in handed:
            if isinstance(action, HandOver):
                self._hand_over(machine, action, heirs[:_HEIRS])
        self.kill(machine)

    def admit(self, machine: Machine, call_id: str) -> None:
        """Let a queued call through to the target."""
        machine.queue.remove(call_id)
        self.handle_event(machine, DispatchDue(call_id=call_id))

    def refuse(self, machine: Machine, call_id: str) -> None:
        """Refuse a queued call for overload."""
        machine.queue.remove(call_id)
        refused = Refused(
            call_id=call_id,
            reason=RefusalReason.OVERLOAD,
            retry_after_ms=100,
        )
        self.handle_event(machine, refused)

    def cancel(self, machine: Machine, call_id: str) -> None:
        """Let the caller of a queued call go away."""
        machine.queue.remove(call_id)
        self.handle_event(machine, WaiterCancelled(call_id=call_id))

    def finish(
        self,
        machine: Machine,
        call_id: str,
        outcome: Outcome,
    ) -> None:
        """End a running call."""
        key = machine.running.pop(call_id)
        kept = _ANSWER if outcome is Outcome.ANSWERED else None
        ending = Ending(outcome=outcome, answer=kept)
        self.send(AnswerMessage(call_id=call_id, outcome=outcome))
        self.handle_event(machine, Completed(key=key, ending=ending))

    def _hand_over(
        self,
        leaver: Machine,
        handed: HandOver,
        heirs: list[Machine],
    ) -> None:
        event = HandOverReceived(leaver=leaver.home, entries=handed.entries)
        for heir in heirs:
            self.handle_event(heir, event)
