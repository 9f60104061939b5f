"""The baseline: three tries at each hop, first come first served."""

from functools import partial
from random import Random

from bench._deployment import Service, Step
from bench._network import Network
from bench._request import Call, Handle, Reply, failed
from bench._target import Target
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason

_TRIES = 3
_TRY_SECONDS = 1


class PlainNode:
    """A target that takes calls until its connections are used up."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        service: Service,
        *,
        place: str,
        nodes_by_service: dict[str, list['PlainNode']],
    ) -> None:
        """Stand in a failure domain."""
        self.place = place
        self.network = network
        sender = PlainSender(network, rng, place, nodes_by_service)
        self.target = Target(network.loop, rng, service, sender)
        self._most_waiting = service.connections - service.slots

    def receive(self, call: Call, reply: Reply) -> None:
        """Run a call, or refuse it when no connection is left."""
        if len(self.target.waiting) >= self._most_waiting:
            reply(failed(call, RefusalReason.QUEUE_FULL))
            return
        self.target.run(call, reply)

    def give_up(self, call: Call) -> None:
        """Let an abandoned call go on."""


class _Uncancellable:
    def cancel(self) -> None:
        """Let the call go on below."""


class PlainSender:
    """Tries any target, then another; knows no deadline from above."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        place: str,
        nodes_by_service: dict[str, list[PlainNode]],
    ) -> None:
        """Stand in a failure domain."""
        self._network = network
        self._rng = rng
        self._place = place
        self._nodes_by_service = nodes_by_service

    def send(self, step: Step, parent: Call, reply: Reply) -> Handle:
        """Send a call and try it again when it fails."""
        self._try(step, parent, reply, _TRIES)
        return _Uncancellable()

    def _try(self, step: Step, parent: Call, reply: Reply, left: int) -> None:
        loop = self._network.loop
        call = Call(parent.request, step, deadline=loop.now + _TRY_SECONDS)
        node = self._rng.choice(self._nodes_by_service[step.service])
        ends: list[AnswerInfo] = []
        end = partial(self._end, call, parent, reply, left, ends)
        loop.at(call.deadline, partial(end, _timed_out(call)))
        if not self._network.is_cut(self._place, node.place):
            delay = self._network.delay(self._place, node.place)
            back = partial(self._later, delay, end)
            loop.after(delay, partial(node.receive, call, back))

    def _later(self, delay: float, end: Reply, info: AnswerInfo) -> None:
        self._network.loop.after(delay, partial(end, info))

    def _end(
        self,
        call: Call,
        parent: Call,
        reply: Reply,
        left: int,
        ends: list[AnswerInfo],
        info: AnswerInfo,
    ) -> None:
        if ends:
            return
        ends.append(info)
        if info.outcome is Outcome.ANSWERED or left == 1:
            reply(info)
            return
        call.request.retries += 1
        self._try(call.step, parent, reply, left - 1)


def _timed_out(call: Call) -> AnswerInfo:
    return failed(call, RefusalReason.DEADLINE, Outcome.UNKNOWN)
