"""A fleet with network delays, message loss and service times."""

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

_NETWORK_DELAY_SECONDS: Final = 0.001
_MEAN_JITTER_SECONDS: Final = 0.0005
_SERVICE_SECONDS: Final = 0.04
_TICK_SECONDS: Final = 0.05
_LOSS_PROBABILITY: Final = 0.01

_Callback = Callable[[], None]
_ScheduledCallback = tuple[float, int, _Callback]


class TimedFleet(Fleet):
    """Delivers each message after a network delay, and loses 1 %.

    Only messages between callers and nodes are lost; inquiries fail because
    of a partition, a suspended node or a lost VM.
    """

    def __init__(self, factory: NodeFactory, random: Random) -> None:
        """Schedule the first tick."""
        super().__init__(factory)
        self.random = random
        self._scheduled: list[_ScheduledCallback] = []
        self._sequence = count()
        self.schedule(_TICK_SECONDS, self._tick)

    def schedule(self, seconds: float, callback: _Callback) -> None:
        """Call back in ``seconds`` from now."""
        heappush(
            self._scheduled,
            (self.now + seconds, next(self._sequence), callback),
        )

    def run_until(self, end: float) -> None:
        """Run the callbacks due by ``end`` and set the clock to it."""
        while self._scheduled and self._scheduled[0][0] <= end:
            at, _, callback = heappop(self._scheduled)
            self.now = at
            callback()
        self.now = end

    def send(self, message: Message) -> None:
        """Schedule the delivery of a message, or lose it."""
        is_caller_traffic = isinstance(message, AnswerMessage | RequestMessage)
        if is_caller_traffic and self.random.random() < _LOSS_PROBABILITY:
            return
        jitter = self.random.expovariate(1 / _MEAN_JITTER_SECONDS)
        self.schedule(
            _NETWORK_DELAY_SECONDS + jitter, lambda: self.deliver(message)
        )

    def handle_event(self, machine: Machine, event: Event) -> None:
        """Pass an event to a node; admit the calls it queues at once."""
        super().handle_event(machine, event)
        for call_id in tuple(machine.queue):
            self.admit(machine, call_id)
            if call_id in machine.running:
                self._schedule_end(machine, call_id, _SERVICE_SECONDS)

    def _schedule_end(
        self,
        machine: Machine,
        call_id: str,
        seconds: float,
    ) -> None:
        self.schedule(seconds, lambda: self._end(machine, call_id))

    def _end(self, machine: Machine, call_id: str) -> None:
        name = machine.home.node
        if self.by_name.get(name) is not machine:
            return
        if machine.frozen_at is not None:
            self._schedule_end(machine, call_id, _TICK_SECONDS)
            return
        if call_id in machine.running:
            self.finish(machine, call_id, Outcome.ANSWERED)

    def _tick(self) -> None:
        for machine in tuple(self.by_name.values()):
            if machine.frozen_at is None:
                self.handle_event(machine, RunOnceTicked())
        self.schedule(_TICK_SECONDS, self._tick)
