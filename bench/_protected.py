"""Nodes and senders that run the decisions of this package."""

from functools import partial, singledispatchmethod
from random import Random

from bench._deployment import Service, Step
from bench._network import Network
from bench._request import Call, Handle, Reply, failed
from bench._target import Target
from lovageshunt._record import Record
from lovageshunt.admission import (
    Abort,
    Action,
    Admission,
    AdmissionSettings,
    Arrived,
    CallerThresholds,
    Cancelled,
    Dispatch,
    Event,
    Finished,
    Refuse,
    Ticked,
)
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason
from lovageshunt.retries import (
    AllowancePool,
    Failure,
    RetryBudget,
    RetryBudgetSettings,
    RetryVerdict,
    may_retry,
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


class ProtectedNode:
    """A node beside its target."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        service: Service,
        *,
        place: str,
        variant: Variant,
        routes: 'Routes',
    ) -> None:
        """Stand in a failure domain."""
        self.place = place
        self.network = network
        self.variant = variant
        self._thresholds = CallerThresholds()
        sender = ProtectedSender(network, rng, self, routes)
        self.sender = sender
        self.target = Target(network.loop, rng, service, sender)
        settings = AdmissionSettings(
            slots=int(service.slots * network.published_share),
            **variant.settings,  # type: ignore[arg-type]
        )
        self.admission = Admission(settings, 0)
        self._waiting: dict[str, tuple[Call, Reply]] = {}
        self._running: dict[str, tuple[Call, Reply]] = {}
        self._tick()

    @property
    def thresholds(self) -> CallerThresholds:
        """Return what answers from below told this node."""
        return self._thresholds

    def receive(self, call: Call, reply: Reply) -> None:
        """Admit or refuse a call."""
        if call.is_over:
            return
        now = self.network.loop.now
        kind = call.request.kind.name
        wait = self._thresholds.verdict_of_kind(kind, call.request.level, now)
        if wait is not None:
            self._refuse(call, reply, RefusalReason.OVERLOAD, wait)
            return
        self._waiting[call.call_id] = (call, reply)
        self._handle(
            Arrived(
                call_id=call.call_id,
                level=call.request.level,
                deadline=call.deadline,
            ),
        )

    def give_up(self, call: Call) -> None:
        """Drop a call whose caller is gone."""
        if call.call_id in self._waiting:
            self._waiting.pop(call.call_id)
            call.is_over = True
        self._handle(Cancelled(call.call_id))

    def _tick(self) -> None:
        self._handle(Ticked())
        loop = self.network.loop
        loop.at(
            max(self.admission.next_wake(loop.now), loop.now + 0.001),
            self._tick,
        )

    def _handle(self, event: Event) -> None:
        for action in self.admission.handle(event, self.network.loop.now):
            self._do(action)

    @singledispatchmethod
    def _do(self, action: Action) -> None:
        raise NotImplementedError(type(action).__name__)

    @_do.register
    def _dispatch(self, action: Dispatch) -> None:
        call, reply = self._waiting.pop(action.call_id)
        self._running[call.call_id] = (call, reply)
        self.target.run(call, partial(self._finish, call))

    @_do.register
    def _refused(self, action: Refuse) -> None:
        call, reply = self._waiting.pop(action.call_id)
        self._refuse(call, reply, action.reason, action.retry_after_ms)

    @_do.register
    def _abort(self, action: Abort) -> None:
        call, _reply = self._running[action.call_id]
        call.stop()

    def _finish(self, call: Call, info: AnswerInfo) -> None:
        _call, reply = self._running.pop(call.call_id)
        was_good = info.outcome is Outcome.ANSWERED
        self._learn(call)
        self._handle(Finished(call.call_id, was_good=was_good))
        self._answer(call, reply, info)

    def _learn(self, call: Call) -> None:
        now = self.network.loop.now
        told = self._thresholds.merged(now, call.asked)
        self._thresholds.learn_needs(call.request.kind.name, list(told), now)

    def _refuse(
        self,
        call: Call,
        reply: Reply,
        reason: RefusalReason,
        wait_ms: int,
    ) -> None:
        book = self.network.book
        book.refusals[call.step.service, reason.value] += 1
        call.is_over = True
        info = failed(call, reason, Outcome.NOT_RUN, wait_ms)
        self._answer(call, reply, info)

    def _answer(self, call: Call, reply: Reply, info: AnswerInfo) -> None:
        info.unspent = call.unspent
        if self.variant.tells_callers:
            told = self._thresholds.merged(self.network.loop.now, call.asked)
            own = {call.step.service: self.admission.threshold}
            info.threshold_by_service = told | own
        info.load = self.admission.load()
        reply(info)


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
        self.node_by_name: dict[str, ProtectedNode] = {}
        self.members: list[RouteMember] = []

    def add(self, service: str, node: ProtectedNode) -> None:
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
        node: ProtectedNode,
        routes: Routes,
    ) -> None:
        """Belong to a node."""
        self.network = network
        self.rng = rng
        self.node = node
        self.routes = routes
        self.budget = RetryBudget(RetryBudgetSettings(), 0)
        self._router_by_service: dict[str, Router] = {}

    def send(self, step: Step, parent: Call, reply: Reply) -> Handle:
        """Send a call; its retries come out of the parent's share."""
        exchange = Exchange(self, step, parent, reply)
        now = self.network.loop.now
        level = parent.request.level
        wait = self.node.thresholds.verdict(step.service, level, now)
        if wait is None:
            exchange.start()
        else:
            exchange.refuse(wait)
        return exchange

    def router(self, service: str) -> Router:
        """Return the router of a service, made at its first use."""
        if service not in self._router_by_service:
            kind = Router if self.node.variant.weighs_targets else AnyTarget
            router = kind(
                service=service,
                own_failure_domain=self.node.place,
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

    def _node(self) -> ProtectedNode:
        return self._sender.routes.node_by_name[self._tried[-1]]

    def _delay(self) -> float:
        return self._network.delay(self._sender.node.place, self._node().place)

    def _is_cut(self) -> bool:
        here = self._sender.node.place
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
        thresholds = self._sender.node.thresholds
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

    def _verdict(self, info: AnswerInfo, now: float) -> RetryVerdict:
        return may_retry(
            Failure(
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
