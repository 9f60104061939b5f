"""A fleet in which messages and calls take their time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Final

from bench.run_once._fleet import Fleet
from bench.run_once._machine import Machine, NodeFactory
from bench.run_once._messages import (
    AnswerMessage,
    Message,
    RequestMessage,
)
from lovageshunt.calls import Outcome
from lovageshunt.idempotency import Event, RunOnceTicked

_HOP_SECONDS: Final = 0.001
_JITTER_SECONDS: Final = 0.0005
_SERVICE_SECONDS: Final = 0.04
_TICK_SECONDS: Final = 0.05
_LOST: Final = 0.01

_Act = Callable[[], None]
_Due = tuple[float, int, _Act]


class TimedFleet(Fleet):
    """Delivers each message after a hop's time, and loses one in a hundred.

    Only messages between callers and nodes are lost; inquiries fail by a
    cut, a freeze or a VM that is gone.
    """

    def __init__(self, factory: NodeFactory, random: Random) -> None:
        """Begin with nothing due."""
        super().__init__(factory)
        self.random = random
        self._due: list[_Due] = []
        self._order = count()
        self.after(_TICK_SECONDS, self._tick)

    def after(self, seconds: float, act: _Act) -> None:
        """Do something later."""
        heappush(self._due, (self.now + seconds, next(self._order), act))

    def run_until(self, end: float) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= end:
            at, _, act = heappop(self._due)
            self.now = at
            act()
        self.now = end

    def send(self, message: Message) -> None:
        """Deliver a message after a hop's time, or lose it."""
        is_callers = isinstance(message, AnswerMessage | RequestMessage)
        if is_callers and self.random.random() < _LOST:
            return
        jitter = self.random.expovariate(1 / _JITTER_SECONDS)
        self.after(_HOP_SECONDS + jitter, lambda: self.deliver(message))

    def handle_event(self, machine: Machine, event: Event) -> None:
        """Give a node an event; what it queues is admitted at once."""
        super().handle_event(machine, event)
        for call_id in tuple(machine.queue):
            self.admit(machine, call_id)
            if call_id in machine.running:
                self._end_later(machine, call_id, _SERVICE_SECONDS)

    def _end_later(
        self,
        machine: Machine,
        call_id: str,
        seconds: float,
    ) -> None:
        self.after(seconds, lambda: self._end(machine, call_id))

    def _end(self, machine: Machine, call_id: str) -> None:
        name = machine.home.node
        if self.by_name.get(name) is not machine:
            return
        if machine.frozen_at is not None:
            self._end_later(machine, call_id, _TICK_SECONDS)
            return
        if call_id in machine.running:
            self.finish(machine, call_id, Outcome.ANSWERED)

    def _tick(self) -> None:
        for machine in tuple(self.by_name.values()):
            if machine.frozen_at is None:
                self.handle_event(machine, RunOnceTicked())
        self.after(_TICK_SECONDS, self._tick)
