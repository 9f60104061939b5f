"""Simulated clients: they send requests, time out and retry."""

from functools import partial
from random import Random
from typing import Protocol

from bench._deployment import Kind
from bench._network import Network
from bench._request import Call, Reply, Request, failed
from lovageshunt._record import Record
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason
from lovageshunt.retries import allowance_for

#: Maximum retries per request over all hops, the client's own included.
RETRY_BOUND = 4
_MS_PER_SECOND = 1000


class IngressNode(Protocol):
    """A node that accepts requests from clients."""

    location: str

    def receive(self, call: Call, reply: Reply) -> None:
        """Handle a call and pass its result to ``reply``."""

    def abandon(self, call: Call) -> None:
        """Handle that the caller no longer waits for a call."""


class ClientPolicy(Record):
    """Timeout and retry behaviour of clients.

    ``attempt_timeout_seconds`` is the timeout of one attempt,
    ``min_backoff_seconds`` the minimum wait between two attempts, and
    ``honours_retry_after`` says whether they wait as long as a refusal asks.
    """

    __slots__ = (
        'attempt_timeout_seconds',
        'max_attempts',
        'min_backoff_seconds',
        'honours_retry_after',
    )

    def __init__(
        self,
        *,
        attempt_timeout_seconds: float,
        max_attempts: int,
        min_backoff_seconds: float,
        honours_retry_after: bool,
    ) -> None:
        self.attempt_timeout_seconds = attempt_timeout_seconds
        self.max_attempts = max_attempts
        self.min_backoff_seconds = min_backoff_seconds
        self.honours_retry_after = honours_retry_after


COOPERATIVE = ClientPolicy(
    attempt_timeout_seconds=10,
    max_attempts=2,
    min_backoff_seconds=0.5,
    honours_retry_after=True,
)
AGGRESSIVE = ClientPolicy(
    attempt_timeout_seconds=1,
    max_attempts=6,
    min_backoff_seconds=0.05,
    honours_retry_after=False,
)


class LoadGenerator:
    """Sends requests of all kinds as a Poisson process.

    ``rate`` is in requests per second. ``enforces_retry_bound`` says that
    attempts beyond the retry bound are refused.
    """

    def __init__(
        self,
        network: Network,
        rng: Random,
        nodes_by_service: dict[str, list[IngressNode]],
        policy: ClientPolicy,
        *,
        enforces_retry_bound: bool,
    ) -> None:
        self.rate = float(0)
        self._network = network
        self._rng = rng
        self._nodes_by_service = nodes_by_service
        self._policy = policy
        self._enforces_retry_bound = enforces_retry_bound
        kinds = network.deployment.kinds
        self._kinds = kinds
        self._shares = [kind.share for kind in kinds]

    def start(self) -> None:
        """Schedule the next request; each request schedules its successor."""
        self._network.loop.call_later(
            self._rng.expovariate(self.rate), self._send
        )

    def _send(self) -> None:
        kind = self._rng.choices(self._kinds, self._shares)[0]
        requests = self._network.run_record.requests
        request = Request(str(len(requests)), kind, self._network.loop.now)
        requests.append(request)
        self.attempt(request, kind)
        self.start()

    def attempt(self, request: Request, kind: Kind) -> None:
        """Make the next attempt of a request."""
        loop = self._network.loop
        timeout = self._network.deployment.request_timeout_seconds
        request.attempts += 1
        allowance = allowance_for(RETRY_BOUND, request.attempts)
        gives_up_at = request.created_at + timeout
        call = Call(
            request,
            kind.step,
            deadline=min(
                gives_up_at, loop.now + self._policy.attempt_timeout_seconds
            ),
            retry_allowance=0 if allowance is None else allowance.retries,
        )
        node = self._rng.choice(self._nodes_by_service[kind.step.service])
        pending = _Attempt(self, call, node)
        delay = self._network.deployment.client_delay_seconds
        reply = partial(self._deliver_later, pending)
        if allowance is None and self._enforces_retry_bound:
            refusal = failed(call, RefusalReason.RETRY_BOUND, Outcome.NOT_RUN)
            loop.call_later(delay, partial(reply, refusal))
            return
        request.retries += request.attempts > 1
        loop.call_at(call.deadline, pending.time_out)
        loop.call_later(delay, partial(node.receive, call, reply))

    def handle_result(self, call: Call, info: AnswerInfo) -> None:
        """Record the result of an attempt; schedule a retry if one is left."""
        request = call.request
        now = self._network.loop.now
        gives_up_at = (
            request.created_at
            + self._network.deployment.request_timeout_seconds
        )
        if info.outcome is Outcome.ANSWERED and now <= gives_up_at:
            request.is_successful = True
            return
        request.failure_reason = info.reason
        wait_seconds = self._policy.min_backoff_seconds
        if self._policy.honours_retry_after:
            wait_seconds = max(
                wait_seconds, info.retry_after_ms / _MS_PER_SECOND
            )
        has_attempts_left = request.attempts < self._policy.max_attempts
        if has_attempts_left and now + wait_seconds < gives_up_at:
            retry = partial(self.attempt, request, request.kind)
            self._network.loop.call_later(wait_seconds, retry)

    def _deliver_later(self, pending: '_Attempt', info: AnswerInfo) -> None:
        delay = self._network.deployment.client_delay_seconds
        self._network.loop.call_later(delay, partial(pending.complete, info))


class _Attempt:
    def __init__(
        self, generator: LoadGenerator, call: Call, node: IngressNode
    ) -> None:
        self._generator = generator
        self._call = call
        self._node = node
        self._is_over = False

    def time_out(self) -> None:
        """End the attempt with a timeout and abandon its call."""
        if self._is_over:
            return
        self.complete(
            failed(self._call, RefusalReason.DEADLINE, Outcome.UNKNOWN)
        )
        self._node.abandon(self._call)

    def complete(self, info: AnswerInfo) -> None:
        """Pass on the result; later results of the attempt are ignored."""
        if self._is_over:
            return
        self._is_over = True
        self._generator.handle_result(self._call, info)
