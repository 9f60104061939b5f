"""Simulated target: a FIFO queue, slots and work that takes time."""

from collections import deque
from functools import partial
from random import Random
from typing import Protocol

from bench._deployment import Service, Step
from bench._loop import Loop
from bench._request import Call, CallHandle, Reply, answered, failed
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason

#: Constant fraction of the work time; the rest is exponential.
_FIXED_SHARE = 0.5


class Sender(Protocol):
    """Sends the downstream calls of a target."""

    def send(self, step: Step, parent: Call, reply: Reply) -> CallHandle:
        """Send a call and pass its result to ``reply``, once."""


class Target:
    """Runs calls in its slots, in order of arrival.

    ``slow_factor`` multiplies the work time; while ``is_broken``, every call
    fails at once.
    """

    def __init__(
        self,
        loop: Loop,
        rng: Random,
        service: Service,
        sender: Sender,
    ) -> None:
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
            self._complete(
                call, reply, failed(call, RefusalReason.TARGET_FAILED)
            )
            return
        self.waiting.append((call, reply))
        call.stop = partial(self._complete, call, reply, _cancelled(call))
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self.waiting and self._running < self._service.slots:
            call, reply = self.waiting.popleft()
            if call.is_over:
                continue
            self._running += 1
            self._start_work(call, partial(self._release_slot, reply))

    def _release_slot(self, reply: Reply, info: AnswerInfo) -> None:
        self._running -= 1
        reply(info)
        self._fill_slots()

    def _start_work(self, call: Call, reply: Reply) -> None:
        call.request.executions += 1
        call.stop = partial(self._complete, call, reply, _cancelled(call))
        work_factor = _FIXED_SHARE + self._rng.expovariate(
            1 / (1 - _FIXED_SHARE)
        )
        seconds = self._service.work_seconds * self.slow_factor * work_factor
        self._loop.call_later(
            seconds, partial(self._call_downstream, call, reply, 0)
        )

    def _call_downstream(self, call: Call, reply: Reply, index: int) -> None:
        if call.is_over:
            return
        if index == len(call.step.downstream):
            self._complete(call, reply, answered(call))
            return
        downstream = self._sender.send(
            call.step.downstream[index],
            call,
            partial(self._handle_downstream_reply, call, reply, index),
        )
        if not call.is_over:
            call.stop = partial(
                self._cancel_with_downstream, call, downstream, reply
            )

    def _handle_downstream_reply(
        self,
        call: Call,
        reply: Reply,
        index: int,
        info: AnswerInfo,
    ) -> None:
        if info.outcome is Outcome.ANSWERED:
            self._call_downstream(call, reply, index + 1)
            return
        self._complete(
            call,
            reply,
            failed(call, info.reason, retry_after_ms=info.retry_after_ms),
        )

    def _cancel_with_downstream(
        self, call: Call, downstream: CallHandle, reply: Reply
    ) -> None:
        self._complete(call, reply, _cancelled(call))
        downstream.cancel()

    def _complete(self, call: Call, reply: Reply, info: AnswerInfo) -> None:
        if call.is_over:
            return
        call.is_over = True
        reply(info)


def _cancelled(call: Call) -> AnswerInfo:
    return failed(call, RefusalReason.CANCELLED)
