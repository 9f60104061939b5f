"""People with phones: they send requests, wait, and send them again."""

from functools import partial
from random import Random
from typing import Protocol

from bench._deployment import Kind
from bench._network import Network
from bench._request import Call, Reply, Request, failed
from lovageshunt._record import Record
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason
from lovageshunt.retries import allowance_for

#: The retries that one request may cause, its resends included.
RETRY_BOUND = 4
_MS_PER_SECOND = 1000


class Entrance(Protocol):
    """A node that phones reach."""

    place: str

    def receive(self, call: Call, reply: Reply) -> None:
        """Take a call."""

    def give_up(self, call: Call) -> None:
        """Hear that a caller is gone."""


class Manner(Record):
    """How people behave when no answer comes.

    ``try_seconds`` is how long they wait for one attempt, ``attempts`` how
    many they make, ``pause_seconds`` their least wait between two, and
    ``heeds_advice`` whether they wait as long as the refusal asks.
    """

    __slots__ = ('try_seconds', 'attempts', 'pause_seconds', 'heeds_advice')

    def __init__(
        self,
        *,
        try_seconds: float,
        attempts: int,
        pause_seconds: float,
        heeds_advice: bool,
    ) -> None:
        """Take every field by name."""
        self.try_seconds = try_seconds
        self.attempts = attempts
        self.pause_seconds = pause_seconds
        self.heeds_advice = heeds_advice


PATIENT = Manner(
    try_seconds=10,
    attempts=2,
    pause_seconds=0.5,
    heeds_advice=True,
)
HARD = Manner(
    try_seconds=1,
    attempts=6,
    pause_seconds=0.05,
    heeds_advice=False,
)


class Crowd:
    """Sends requests of all kinds at a rate."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        nodes_by_service: dict[str, list[Entrance]],
        manner: Manner,
        *,
        is_bounded: bool,
    ) -> None:
        """Start silent; ``rate`` is in requests a second.

        ``is_bounded`` tells whether nodes refuse resends beyond the bound.
        """
        self.rate = float(0)
        self._network = network
        self._rng = rng
        self._nodes_by_service = nodes_by_service
        self._manner = manner
        self._is_bounded = is_bounded
        kinds = network.deployment.kinds
        self._kinds = kinds
        self._shares = [kind.share for kind in kinds]

    def start(self) -> None:
        """Send the first request and go on for ever."""
        self._network.loop.after(self._rng.expovariate(self.rate), self._send)

    def _send(self) -> None:
        kind = self._rng.choices(self._kinds, self._shares)[0]
        requests = self._network.book.requests
        request = Request(str(len(requests)), kind, self._network.loop.now)
        requests.append(request)
        self.attempt(request, kind)
        self.start()

    def attempt(self, request: Request, kind: Kind) -> None:
        """Send a request, or send it again."""
        loop = self._network.loop
        patience = self._network.deployment.patience_seconds
        request.attempts += 1
        share = allowance_for(RETRY_BOUND, request.attempts)
        ends_at = request.born + patience
        call = Call(
            request,
            kind.step,
            deadline=min(ends_at, loop.now + self._manner.try_seconds),
            share=0 if share is None else share.retries,
        )
        node = self._rng.choice(self._nodes_by_service[kind.step.service])
        exchange = _Attempt(self, call, node)
        delay = self._network.deployment.client_seconds
        back = partial(self._later, exchange)
        if share is None and self._is_bounded:
            refusal = failed(call, RefusalReason.RETRY_BOUND, Outcome.NOT_RUN)
            loop.after(delay, partial(back, refusal))
            return
        request.retries += request.attempts > 1
        loop.at(call.deadline, exchange.time_out)
        loop.after(delay, partial(node.receive, call, back))

    def settle(self, call: Call, info: AnswerInfo) -> None:
        """Take the end of an attempt."""
        request = call.request
        now = self._network.loop.now
        ends_at = request.born + self._network.deployment.patience_seconds
        if info.outcome is Outcome.ANSWERED and now <= ends_at:
            request.is_good = True
            return
        request.cause = info.reason
        wait = self._manner.pause_seconds
        if self._manner.heeds_advice:
            wait = max(wait, info.retry_after_ms / _MS_PER_SECOND)
        has_more = request.attempts < self._manner.attempts
        if has_more and now + wait < ends_at:
            again = partial(self.attempt, request, request.kind)
            self._network.loop.after(wait, again)

    def _later(self, exchange: '_Attempt', info: AnswerInfo) -> None:
        delay = self._network.deployment.client_seconds
        self._network.loop.after(delay, partial(exchange.end, info))


class _Attempt:
    def __init__(self, crowd: Crowd, call: Call, node: Entrance) -> None:
        self._crowd = crowd
        self._call = call
        self._node = node
        self._is_over = False

    def time_out(self) -> None:
        """Stop waiting and hang up."""
        if self._is_over:
            return
        self.end(failed(self._call, RefusalReason.DEADLINE, Outcome.UNKNOWN))
        self._node.give_up(self._call)

    def end(self, info: AnswerInfo) -> None:
        """Take the answer, if it is still waited for."""
        if self._is_over:
            return
        self._is_over = True
        self._crowd.settle(self._call, info)
