"""A target: slots, a line in front of them, and work that takes time."""

from collections import deque
from functools import partial
from random import Random
from typing import Protocol

from bench._deployment import Service, Step
from bench._loop import Loop
from bench._request import Call, Handle, Reply, answered, failed
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason

#: The part of the work that is the same for each call.
_FIXED_SHARE = 0.5


class Sender(Protocol):
    """Whatever a target sends its calls below with."""

    def send(self, step: Step, parent: Call, reply: Reply) -> Handle:
        """Send a call and hand its end to ``reply``, once."""


class Target:
    """Runs calls in its slots, first come first served."""

    def __init__(
        self,
        loop: Loop,
        rng: Random,
        service: Service,
        sender: Sender,
    ) -> None:
        """Start idle."""
        self.slow_factor = float(1)
        self.is_broken = False
        self.waiting: deque[tuple[Call, Reply]] = deque()
        self._loop = loop
        self._rng = rng
        self._service = service
        self._sender = sender
        self._running = 0

    def run(self, call: Call, reply: Reply) -> None:
        """Run a call now or as soon as a slot is free."""
        if self.is_broken:
            self._end(call, reply, failed(call, RefusalReason.TARGET_FAILED))
            return
        self.waiting.append((call, reply))
        call.stop = partial(self._end, call, reply, _cancelled(call))
        self._fill()

    def _fill(self) -> None:
        while self.waiting and self._running < self._service.slots:
            call, reply = self.waiting.popleft()
            if call.is_over:
                continue
            self._running += 1
            self._begin(call, partial(self._free, reply))

    def _free(self, reply: Reply, info: AnswerInfo) -> None:
        self._running -= 1
        reply(info)
        self._fill()

    def _begin(self, call: Call, reply: Reply) -> None:
        call.request.executions += 1
        call.stop = partial(self._end, call, reply, _cancelled(call))
        spread = _FIXED_SHARE + self._rng.expovariate(1 / (1 - _FIXED_SHARE))
        seconds = self._service.work_seconds * self.slow_factor * spread
        self._loop.after(seconds, partial(self._go_below, call, reply, 0))

    def _go_below(self, call: Call, reply: Reply, index: int) -> None:
        if call.is_over:
            return
        if index == len(call.step.below):
            self._end(call, reply, answered(call))
            return
        below = self._sender.send(
            call.step.below[index],
            call,
            partial(self._come_back, call, reply, index),
        )
        if not call.is_over:
            call.stop = partial(self._cancel_both, call, below, reply)

    def _come_back(
        self,
        call: Call,
        reply: Reply,
        index: int,
        info: AnswerInfo,
    ) -> None:
        if info.outcome is Outcome.ANSWERED:
            self._go_below(call, reply, index + 1)
            return
        self._end(
            call,
            reply,
            failed(call, info.reason, retry_after_ms=info.retry_after_ms),
        )

    def _cancel_both(self, call: Call, below: Handle, reply: Reply) -> None:
        self._end(call, reply, _cancelled(call))
        below.cancel()

    def _end(self, call: Call, reply: Reply, info: AnswerInfo) -> None:
        if call.is_over:
            return
        call.is_over = True
        reply(info)


def _cancelled(call: Call) -> AnswerInfo:
    return failed(call, RefusalReason.CANCELLED)
