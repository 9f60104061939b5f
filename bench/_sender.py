"""Downstream calls of a node: routing, advertised thresholds, retries."""

from functools import partial
from random import Random
from typing import Protocol

from bench._deployment import Step
from bench._network import Network
from bench._request import Call, CallHandle, Reply, failed
from lovageshunt._record import Record
from lovageshunt.admission import CallerThresholds
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason
from lovageshunt.retries import (
    AllowancePool,
    AttemptFailure,
    RetryBudget,
    RetryBudgetSettings,
    RetryDecision,
    decide_retry,
)
from lovageshunt.routing import RouteMember, Router

#: Timeout for a connection; a target that exceeds it counts as lost.
_CONNECT_TIMEOUT_SECONDS = 0.2
NO_NODES: frozenset[str] = frozenset()


class Variant(Record):
    """One configuration to compare.

    ``settings`` are the admission settings that differ from the defaults.
    ``advertises_thresholds`` puts thresholds on answers. Without
    ``routes_by_load``, targets are chosen at random.
    """

    __slots__ = ('name', 'settings', 'advertises_thresholds', 'routes_by_load')

    def __init__(
        self,
        name: str,
        *,
        settings: dict[str, float],
        advertises_thresholds: bool = True,
        routes_by_load: bool = True,
    ) -> None:
        self.name = name
        self.settings = settings
        self.advertises_thresholds = advertises_thresholds
        self.routes_by_load = routes_by_load


class DownstreamNode(Protocol):
    """A node that receives calls of other nodes."""

    location: str

    def receive(self, call: Call, reply: Reply) -> None:
        """Handle a call and pass its result to ``reply``."""

    def abandon(self, call: Call) -> None:
        """Handle that the caller no longer waits for a call."""


class RandomRouter(Router):
    """Chooses a random target that was not tried, regardless of load."""

    __slots__ = ('_members', '_random')

    def set_members(self, members: list[RouteMember], now: float) -> None:
        """Replace the known targets by those of the router's service."""
        self._random = Random(len(members))
        self._members = [
            member for member in members if member.service == self._service
        ]

    def choose(
        self,
        now: float,
        excluded: frozenset[str] = NO_NODES,
    ) -> RouteMember | None:
        """Return a random target that is not excluded, None without one."""
        candidates = [
            member for member in self._members if member.node not in excluded
        ]
        return self._random.choice(candidates) if candidates else None


class Routes:
    """Directory of the published targets and their nodes."""

    def __init__(self) -> None:
        self.node_by_name: dict[str, DownstreamNode] = {}
        self.members: list[RouteMember] = []

    def add(self, service: str, node: DownstreamNode) -> None:
        """Publish a node as a target of the service."""
        name = f'{service}-{len(self.members)}'
        self.node_by_name[name] = node
        self.members.append(
            RouteMember(
                node=name,
                service=service,
                failure_domain=node.location,
                region='region',
                address='',
                incarnation='1',
            ),
        )


class ProtectedSender:
    """Sends the downstream calls of one node."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        routes: Routes,
        *,
        location: str,
        thresholds: CallerThresholds,
        variant: Variant,
    ) -> None:
        self.network = network
        self.rng = rng
        self.routes = routes
        self.location = location
        self.thresholds = thresholds
        self._variant = variant
        self.budget = RetryBudget(RetryBudgetSettings(), 0)
        self._router_by_service: dict[str, Router] = {}

    def send(self, step: Step, parent: Call, reply: Reply) -> CallHandle:
        """Send a call; its retries come out of the parent's allowance."""
        downstream = DownstreamCall(self, step, parent, reply)
        now = self.network.loop.now
        level = parent.request.level
        wait_ms = self.thresholds.verdict(step.service, level, now)
        if wait_ms is None:
            downstream.start()
        else:
            downstream.refuse(wait_ms)
        return downstream

    def router(self, service: str) -> Router:
        """Return the router of a service, created on first use."""
        if service not in self._router_by_service:
            router_class = (
                Router if self._variant.routes_by_load else RandomRouter
            )
            router = router_class(
                service=service,
                own_failure_domain=self.location,
                own_region='region',
                rng=self.rng,
            )
            router.set_members(self.routes.members, 0)
            self._router_by_service[service] = router
        return self._router_by_service[service]


class DownstreamCall:
    """One downstream call with its retries.

    It takes over the parent's unspent retry allowance and returns what is left
    when it ends.
    """

    def __init__(
        self,
        sender: ProtectedSender,
        step: Step,
        parent: Call,
        reply: Reply,
    ) -> None:
        self._sender = sender
        self._network = sender.network
        self._router = sender.router(step.service)
        self._parent = parent
        self._pool = AllowancePool(parent.unspent)
        parent.unspent = 0
        self._reply = reply
        self._call = Call(parent.request, step, deadline=parent.deadline)
        self._tried: list[str] = []
        self._is_over = False
        self._started_at = float(0)

    def start(self) -> None:
        """Send an attempt; raise ValueError if the service has no target."""
        if self._is_over:
            return
        now = self._network.loop.now
        excluded = frozenset(self._tried)
        member = self._router.choose(now, excluded) or self._router.choose(now)
        if member is None:
            raise ValueError('no target is published for the called service')
        self._tried.append(member.node)
        self._started_at = now
        self._router.started(member.node, now)
        self._call.retry_allowance = self._pool.share()
        self._call.unspent = self._call.retry_allowance
        self._send_attempt()

    def refuse(self, wait_ms: int) -> None:
        """Refuse the call locally by the threshold its service advertised."""
        service = self._call.step.service
        self._network.run_record.refusals[service, 'overload, told'] += 1
        self._complete_attempt(
            failed(
                self._call,
                RefusalReason.OVERLOAD,
                Outcome.NOT_RUN,
                wait_ms,
            ),
        )

    def cancel(self) -> None:
        """Cancel the call here and at the target."""
        if self._is_over:
            return
        self._is_over = True
        now = self._network.loop.now
        self._router.answered(
            self._tried[-1],
            now,
            seconds=now - self._started_at,
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.CANCELLED,
        )
        if not self._is_partitioned():
            abandon = partial(self._node().abandon, self._call)
            self._network.loop.call_later(self._delay(), abandon)

    def _node(self) -> DownstreamNode:
        return self._sender.routes.node_by_name[self._tried[-1]]

    def _delay(self) -> float:
        return self._network.delay(self._sender.location, self._node().location)

    def _is_partitioned(self) -> bool:
        source = self._sender.location
        return self._network.is_partitioned(source, self._node().location)

    def _send_attempt(self) -> None:
        loop = self._network.loop
        if self._is_partitioned():
            loop.call_later(
                _CONNECT_TIMEOUT_SECONDS,
                partial(self._lose_connection, self._call),
            )
            return
        reply = partial(self._return_reply, self._call)
        receive = partial(self._node().receive, self._call, reply)
        loop.call_later(self._delay(), receive)

    def _return_reply(self, call: Call, info: AnswerInfo) -> None:
        loop = self._network.loop
        if self._is_partitioned():
            loop.call_later(
                _CONNECT_TIMEOUT_SECONDS, partial(self._lose_connection, call)
            )
            return
        loop.call_later(self._delay(), partial(self._handle_reply, call, info))

    def _lose_connection(self, call: Call) -> None:
        if self._is_over or call is not self._call:
            return
        self._router.lost(self._tried[-1], self._network.loop.now)
        self._complete_attempt(
            failed(call, RefusalReason.CONNECTION_LOST, Outcome.UNKNOWN),
        )

    def _handle_reply(self, call: Call, info: AnswerInfo) -> None:
        if self._is_over or call is not self._call:
            return
        now = self._network.loop.now
        self._router.answered(
            self._tried[-1],
            now,
            seconds=now - self._started_at,
            outcome=info.outcome,
            reason=info.reason,
            load=info.load,
        )
        self._record_thresholds(info, now)
        self._pool.give_back(share=call.retry_allowance, unspent=info.unspent)
        self._complete_attempt(info)

    def _record_thresholds(self, info: AnswerInfo, now: float) -> None:
        thresholds = self._sender.thresholds
        for service, threshold in info.threshold_by_service.items():
            thresholds.learn(service, threshold, now)
            self._parent.threshold_services.add(service)

    def _complete_attempt(self, info: AnswerInfo) -> None:
        now = self._network.loop.now
        if info.outcome is Outcome.ANSWERED:
            self._sender.budget.succeeded(now)
        decision = self._retry_decision(info, now)
        if decision.is_retry:
            call = self._call
            call.request.retries += 1
            self._call = Call(call.request, call.step, deadline=call.deadline)
            self._network.loop.call_later(decision.delay_seconds, self.start)
            return
        self._is_over = True
        self._parent.unspent = self._pool.unspent
        self._reply(info)

    def _retry_decision(self, info: AnswerInfo, now: float) -> RetryDecision:
        return decide_retry(
            AttemptFailure(
                outcome=info.outcome,
                reason=info.reason,
                retry_after_ms=info.retry_after_ms,
                tries=len(self._tried),
                was_retried_below=info.unspent < self._call.retry_allowance,
            ),
            now=now,
            deadline=self._call.deadline,
            is_repeatable=self._call.request.kind.is_repeatable,
            pool=self._pool,
            budget=self._sender.budget,
            typical_seconds=now - self._started_at,
            random=self._sender.rng,
        )
