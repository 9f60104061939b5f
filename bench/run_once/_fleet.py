"""The nodes of one service, their lifecycle and their faults."""

from bench.run_once._machine import Machine, NodeFactory, make_node
from bench.run_once._messages import AnswerMessage
from bench.run_once._network import Network
from lovageshunt.calls import HomeNode, Outcome, RefusalReason
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

#: Age given to nodes that start out settled.
_SETTLED_AGE_SECONDS = 1000
_MAX_HAND_OVER_PEERS = 2
_ANSWER = StoredAnswer(status=200, headers=(), body=b'done')


class Fleet(Network):
    """A network whose nodes start, stop and fail, with a published list.

    ``published`` is the platform's node list; nodes read it separately.
    """

    def __init__(self, factory: NodeFactory = make_node) -> None:
        super().__init__()
        self.published: list[HomeNode] = []
        self._factory = factory
        self._started = 0

    def start(self, name: str, *, is_old: bool = False) -> Machine:
        """Start a new incarnation of a node, replacing any earlier one."""
        self._started += 1
        home = HomeNode(node=name, incarnation=f'{name}{self._started}')
        born_at = self.now - _SETTLED_AGE_SECONDS if is_old else self.now
        machine = Machine(home, self._factory(home, born_at))
        self.by_name[name] = machine
        machine.listed = list(self.published)
        peers = [each for each in self.published if each.node != name]
        machine.read([*peers, home], self.now)
        return machine

    def publish(self) -> None:
        """Update the published list to the nodes that exist now."""
        self.published = [each.home for each in self.by_name.values()]

    def settle(self, machine: Machine) -> None:
        """Announce a node to its peers; it settles once all are reached."""
        reached = [self.reach(machine, home) for home in machine.listed]
        responding = [
            peer
            for peer in reached
            if peer is not None and peer.frozen_at is None
        ]
        for peer in responding:
            if machine.home not in peer.listed:
                peer.listed.append(machine.home)
        if len(responding) == len(machine.listed):
            self.handle_event(machine, Settled())

    def kill(self, machine: Machine) -> None:
        """Remove a VM together with its state."""
        self.by_name.pop(machine.home.node)

    def freeze(self, machine: Machine) -> None:
        """Suspend a node; messages to it are buffered."""
        machine.frozen_at = self.now

    def thaw(self, machine: Machine) -> None:
        """Resume a node; it then receives the buffered messages."""
        if machine.frozen_at is None:
            return
        suspended_seconds = self.now - machine.frozen_at
        machine.frozen_at = None
        buffered = machine.buffered
        machine.buffered = []
        self.handle_event(machine, Resumed(gap_seconds=suspended_seconds))
        for message in buffered:
            self.receive(machine, message)

    def drain(self, machine: Machine) -> None:
        """Stop a node as planned and hand its entries over to two peers."""
        for call_id in tuple(machine.running):
            self.finish(machine, call_id, Outcome.ANSWERED)
        self.handle_event(machine, Leaving())
        actions = machine.node.handle(Drained(), self.now)
        reached = [self.reach(machine, home) for home in machine.listed]
        receivers = [
            peer
            for peer in reached
            if peer is not None and peer.frozen_at is None
        ]
        for action in actions:
            if isinstance(action, HandOver):
                self._hand_over(
                    machine, action, receivers[:_MAX_HAND_OVER_PEERS]
                )
        self.kill(machine)

    def admit(self, machine: Machine, call_id: str) -> None:
        """Dispatch a queued call to the target."""
        machine.queue.remove(call_id)
        self.handle_event(machine, DispatchDue(call_id=call_id))

    def refuse(self, machine: Machine, call_id: str) -> None:
        """Refuse a queued call because of overload."""
        machine.queue.remove(call_id)
        refused = Refused(
            call_id=call_id,
            reason=RefusalReason.OVERLOAD,
            retry_after_ms=100,
        )
        self.handle_event(machine, refused)

    def cancel(self, machine: Machine, call_id: str) -> None:
        """Cancel a queued call whose caller has disconnected."""
        machine.queue.remove(call_id)
        self.handle_event(machine, WaiterCancelled(call_id=call_id))

    def finish(
        self,
        machine: Machine,
        call_id: str,
        outcome: Outcome,
    ) -> None:
        """End a running call with an outcome and answer its caller."""
        key = machine.running.pop(call_id)
        kept = _ANSWER if outcome is Outcome.ANSWERED else None
        ending = Ending(outcome=outcome, answer=kept)
        self.send(AnswerMessage(call_id=call_id, outcome=outcome))
        self.handle_event(machine, Completed(key=key, ending=ending))

    def _hand_over(
        self,
        leaver: Machine,
        hand_over: HandOver,
        receivers: list[Machine],
    ) -> None:
        event = HandOverReceived(leaver=leaver.home, entries=hand_over.entries)
        for receiver in receivers:
            self.handle_event(receiver, event)
