"""The caller's side: routing, callers' thresholds, retries of a call."""

from functools import partial
from random import Random
from typing import Protocol

from bench._deployment import Step
from bench._network import Network
from bench._request import Call, Handle, Reply, failed
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

#: After so long without a connection a target counts as lost.
_CONNECT_SECONDS = 0.2
NOBODY: frozenset[str] = frozenset()


class Variant(Record):
    """One version of the policy."""

    __slots__ = ('name', 'settings', 'tells_callers', 'weighs_targets')

    def __init__(
        self,
        name: str,
        *,
        settings: dict[str, float],
        tells_callers: bool = True,
        weighs_targets: bool = True,
    ) -> None:
        """Take the settings of admission that differ from the defaults.

        ``tells_callers`` puts thresholds on answers; without
        ``weighs_targets`` any target is as good as another.
        """
        self.name = name
        self.settings = settings
        self.tells_callers = tells_callers
        self.weighs_targets = weighs_targets


class Neighbour(Protocol):
    """A node as its callers see it."""

    place: str

    def receive(self, call: Call, reply: Reply) -> None:
        """Take a call."""

    def give_up(self, call: Call) -> None:
        """Hear that a caller is gone."""


class AnyTarget(Router):
    """Chooses any target that was not tried."""

    __slots__ = ('_members', '_random')

    def set_members(self, members: list[RouteMember], now: float) -> None:
        """Take the targets of the service."""
        self._random = Random(len(members))
        self._members = [
            member for member in members if member.service == self._service
        ]

    def choose(
        self,
        now: float,
        excluded: frozenset[str] = NOBODY,
    ) -> RouteMember | None:
        """Return any target."""
        left = [
            member for member in self._members if member.node not in excluded
        ]
        return self._random.choice(left) if left else None


class Routes:
    """The published targets of each service and the nodes by name."""

    def __init__(self) -> None:
        """Start empty."""
        self.node_by_name: dict[str, Neighbour] = {}
        self.members: list[RouteMember] = []

    def add(self, service: str, node: Neighbour) -> None:
        """List a node."""
        name = f'{service}-{len(self.members)}'
        self.node_by_name[name] = node
        self.members.append(
            RouteMember(
                node=name,
                service=service,
                failure_domain=node.place,
                region='region',
                address='',
                incarnation='1',
            ),
        )


class ProtectedSender:
    """Calls services with a router, callers' thresholds and an allowance."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        routes: Routes,
        *,
        place: str,
        thresholds: CallerThresholds,
        variant: Variant,
    ) -> None:
        """Stand in a failure domain and share its node's thresholds."""
        self.network = network
        self.rng = rng
        self.routes = routes
        self.place = place
        self.thresholds = thresholds
        self._variant = variant
        self.budget = RetryBudget(RetryBudgetSettings(), 0)
        self._router_by_service: dict[str, Router] = {}

    def send(self, step: Step, parent: Call, reply: Reply) -> Handle:
        """Send a call; its retries come out of the parent's share."""
        exchange = Exchange(self, step, parent, reply)
        now = self.network.loop.now
        level = parent.request.level
        wait = self.thresholds.verdict(step.service, level, now)
        if wait is None:
            exchange.start()
        else:
            exchange.refuse(wait)
        return exchange

    def router(self, service: str) -> Router:
        """Return the router of a service, made at its first use."""
        if service not in self._router_by_service:
            kind = Router if self._variant.weighs_targets else AnyTarget
            router = kind(
                service=service,
                own_failure_domain=self.place,
                own_region='region',
                rng=self.rng,
            )
            router.set_members(self.routes.members, 0)
            self._router_by_service[service] = router
        return self._router_by_service[service]


class Exchange:
    """One call below with its retries."""

    def __init__(
        self,
        sender: ProtectedSender,
        step: Step,
        parent: Call,
        reply: Reply,
    ) -> None:
        """Prepare the first try; the parent's share is lent to it."""
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
        """Send a try to the router's choice."""
        if self._is_over:
            return
        now = self._network.loop.now
        excluded = frozenset(self._tried)
        member = self._router.choose(now, excluded) or self._router.choose(now)
        if member is None:
            raise ValueError('the deployment lists no such service')
        self._tried.append(member.node)
        self._started_at = now
        self._router.started(member.node, now)
        self._call.share = self._pool.share()
        self._call.unspent = self._call.share
        self._depart()

    def refuse(self, wait_ms: int) -> None:
        """Refuse the call here, as its service would."""
        service = self._call.step.service
        self._network.book.refusals[service, 'overload, told'] += 1
        self._settle(
            failed(
                self._call,
                RefusalReason.OVERLOAD,
                Outcome.NOT_RUN,
                wait_ms,
            ),
        )

    def cancel(self) -> None:
        """Give the call up, here and below."""
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
        if not self._is_cut():
            give_up = partial(self._node().give_up, self._call)
            self._network.loop.after(self._delay(), give_up)

    def _node(self) -> Neighbour:
        return self._sender.routes.node_by_name[self._tried[-1]]

    def _delay(self) -> float:
        return self._network.delay(self._sender.place, self._node().place)

    def _is_cut(self) -> bool:
        here = self._sender.place
        return self._network.is_cut(here, self._node().place)

    def _depart(self) -> None:
        loop = self._network.loop
        if self._is_cut():
            loop.after(_CONNECT_SECONDS, partial(self._lose, self._call))
            return
        back = partial(self._come_back, self._call)
        receive = partial(self._node().receive, self._call, back)
        loop.after(self._delay(), receive)

    def _come_back(self, call: Call, info: AnswerInfo) -> None:
        loop = self._network.loop
        if self._is_cut():
            loop.after(_CONNECT_SECONDS, partial(self._lose, call))
            return
        loop.after(self._delay(), partial(self._end, call, info))

    def _lose(self, call: Call) -> None:
        if self._is_over or call is not self._call:
            return
        self._router.lost(self._tried[-1], self._network.loop.now)
        self._settle(
            failed(call, RefusalReason.CONNECTION_LOST, Outcome.UNKNOWN),
        )

    def _end(self, call: Call, info: AnswerInfo) -> None:
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
        self._learn(info, now)
        self._pool.give_back(share=call.share, unspent=info.unspent)
        self._settle(info)

    def _learn(self, info: AnswerInfo, now: float) -> None:
        thresholds = self._sender.thresholds
        for service, threshold in info.threshold_by_service.items():
            thresholds.learn(service, threshold, now)
            self._parent.asked.add(service)

    def _settle(self, info: AnswerInfo) -> None:
        now = self._network.loop.now
        if info.outcome is Outcome.ANSWERED:
            self._sender.budget.succeeded(now)
        verdict = self._verdict(info, now)
        if verdict.is_retry:
            call = self._call
            call.request.retries += 1
            self._call = Call(call.request, call.step, deadline=call.deadline)
            self._network.loop.after(verdict.delay_seconds, self.start)
            return
        self._is_over = True
        self._parent.unspent = self._pool.unspent
        self._reply(info)

    def _verdict(self, info: AnswerInfo, now: float) -> RetryDecision:
        return decide_retry(
            AttemptFailure(
                outcome=info.outcome,
                reason=info.reason,
                retry_after_ms=info.retry_after_ms,
                tries=len(self._tried),
                was_retried_below=info.unspent < self._call.share,
            ),
            now=now,
            deadline=self._call.deadline,
            is_repeatable=self._call.request.kind.is_repeatable,
            pool=self._pool,
            budget=self._sender.budget,
            typical_seconds=now - self._started_at,
            random=self._sender.rng,
        )
