"""Nodes that run the decisions of this package beside their targets."""

from functools import partial, singledispatchmethod
from random import Random

from bench._deployment import Service
from bench._network import Network
from bench._request import Call, Reply, failed
from bench._sender import ProtectedSender, Routes, Variant
from bench._target import Target
from lovageshunt.admission import (
    Abort,
    Action,
    Admission,
    AdmissionSettings,
    AdmissionTicked,
    Admit,
    Arrived,
    CallerThresholds,
    Cancelled,
    Event,
    Finished,
    Refuse,
)
from lovageshunt.calls import AnswerInfo, Outcome, RefusalReason


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
        routes: Routes,
    ) -> None:
        """Stand in a failure domain."""
        self.place = place
        self.network = network
        self._variant = variant
        self._thresholds = CallerThresholds()
        sender = ProtectedSender(
            network,
            rng,
            routes,
            place=place,
            thresholds=self._thresholds,
            variant=variant,
        )
        self.target = Target(network.loop, rng, service, sender)
        settings = AdmissionSettings(
            slots=int(service.slots * network.published_share),
            **variant.settings,  # type: ignore[arg-type]
        )
        self.admission = Admission(settings, 0)
        self._waiting: dict[str, tuple[Call, Reply]] = {}
        self._running: dict[str, tuple[Call, Reply]] = {}
        self._tick()

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
        self._handle(AdmissionTicked())
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
    def _dispatch(self, action: Admit) -> None:
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
        was_complete = info.outcome is Outcome.ANSWERED
        self._learn(call)
        self._handle(Finished(call.call_id, was_complete=was_complete))
        self._answer(call, reply, info)

    def _learn(self, call: Call) -> None:
        now = self.network.loop.now
        told = self._thresholds.advertised(now, call.asked)
        self._thresholds.record_dependencies(
            call.request.kind.name, list(told), now
        )

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
        if self._variant.tells_callers:
            told = self._thresholds.advertised(
                self.network.loop.now, call.asked
            )
            own = {call.step.service: self.admission.threshold}
            info.threshold_by_service = told | own
        info.load = self.admission.load()
        reply(info)
