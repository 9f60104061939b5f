"""The baseline: three attempts at each hop, FIFO queues, no shedding."""

from functools import partial
from random import Random

from bench._deployment import Service, Step
from bench._network import Network
from bench._request import Call, CallHandle, Reply, failed
from bench._target import Target
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason

_MAX_ATTEMPTS = 3
_ATTEMPT_TIMEOUT_SECONDS = 1


class BaselineNode:
    """A node that only refuses calls when its target has no free connection."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        service: Service,
        *,
        location: str,
        nodes_by_service: dict[str, list['BaselineNode']],
    ) -> None:
        self.location = location
        self.network = network
        sender = BaselineSender(network, rng, location, nodes_by_service)
        self.target = Target(network.loop, rng, service, sender)
        self._max_waiting = service.connections - service.slots

    def receive(self, call: Call, reply: Reply) -> None:
        """Run a call, or refuse it when all connections are in use."""
        if len(self.target.waiting) >= self._max_waiting:
            reply(failed(call, RefusalReason.QUEUE_FULL))
            return
        self.target.run(call, reply)

    def abandon(self, call: Call) -> None:
        """Do nothing: the baseline does not cancel abandoned calls."""


class _NonCancellableCall:
    def cancel(self) -> None:
        """Do nothing: the downstream call runs to completion."""


class BaselineSender:
    """Sends attempts to random targets and ignores the caller's deadline."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        location: str,
        nodes_by_service: dict[str, list[BaselineNode]],
    ) -> None:
        self._network = network
        self._rng = rng
        self._location = location
        self._nodes_by_service = nodes_by_service

    def send(self, step: Step, parent: Call, reply: Reply) -> CallHandle:
        """Send a call and retry it when it fails or times out."""
        self._attempt(step, parent, reply, _MAX_ATTEMPTS)
        return _NonCancellableCall()

    def _attempt(
        self, step: Step, parent: Call, reply: Reply, attempts_left: int
    ) -> None:
        loop = self._network.loop
        call = Call(
            parent.request, step, deadline=loop.now + _ATTEMPT_TIMEOUT_SECONDS
        )
        node = self._rng.choice(self._nodes_by_service[step.service])
        results: list[AnswerInfo] = []
        complete = partial(
            self._complete, call, parent, reply, attempts_left, results
        )
        loop.call_at(call.deadline, partial(complete, _timed_out(call)))
        if not self._network.is_partitioned(self._location, node.location):
            delay = self._network.delay(self._location, node.location)
            delayed_reply = partial(self._deliver_later, delay, complete)
            loop.call_later(delay, partial(node.receive, call, delayed_reply))

    def _deliver_later(
        self, delay: float, complete: Reply, info: AnswerInfo
    ) -> None:
        self._network.loop.call_later(delay, partial(complete, info))

    def _complete(
        self,
        call: Call,
        parent: Call,
        reply: Reply,
        attempts_left: int,
        results: list[AnswerInfo],
        info: AnswerInfo,
    ) -> None:
        if results:
            return
        results.append(info)
        if info.outcome is Outcome.ANSWERED or attempts_left == 1:
            reply(info)
            return
        call.request.retries += 1
        self._attempt(call.step, parent, reply, attempts_left - 1)


def _timed_out(call: Call) -> AnswerInfo:
    return failed(call, RefusalReason.DEADLINE, Outcome.UNKNOWN)
