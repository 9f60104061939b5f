"""Simulated nodes that apply the admission control of lovageshunt."""

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
    """A node with admission control in front of its target."""

    def __init__(
        self,
        network: Network,
        rng: Random,
        service: Service,
        *,
        location: str,
        variant: Variant,
        routes: Routes,
    ) -> None:
        self.location = location
        self.network = network
        self._variant = variant
        self._thresholds = CallerThresholds()
        sender = ProtectedSender(
            network,
            rng,
            routes,
            location=location,
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
        """Queue a call for admission; refuse it by downstream thresholds."""
        if call.is_over:
            return
        now = self.network.loop.now
        kind = call.request.kind.name
        wait_ms = self._thresholds.verdict_of_kind(
            kind, call.request.level, now
        )
        if wait_ms is not None:
            self._refuse(call, reply, RefusalReason.OVERLOAD, wait_ms)
            return
        self._waiting[call.call_id] = (call, reply)
        self._handle(
            Arrived(
                call_id=call.call_id,
                level=call.request.level,
                deadline=call.deadline,
            ),
        )

    def abandon(self, call: Call) -> None:
        """Cancel a call whose caller no longer waits for it."""
        if call.call_id in self._waiting:
            self._waiting.pop(call.call_id)
            call.is_over = True
        self._handle(Cancelled(call.call_id))

    def _tick(self) -> None:
        self._handle(AdmissionTicked())
        loop = self.network.loop
        loop.call_at(
            max(self.admission.next_wake(loop.now), loop.now + 0.001),
            self._tick,
        )

    def _handle(self, event: Event) -> None:
        for action in self.admission.handle(event, self.network.loop.now):
            self._apply(action)

    @singledispatchmethod
    def _apply(self, action: Action) -> None:
        raise NotImplementedError(type(action).__name__)

    @_apply.register
    def _apply_admit(self, action: Admit) -> None:
        call, reply = self._waiting.pop(action.call_id)
        self._running[call.call_id] = (call, reply)
        self.target.run(call, partial(self._finish, call))

    @_apply.register
    def _apply_refuse(self, action: Refuse) -> None:
        call, reply = self._waiting.pop(action.call_id)
        self._refuse(call, reply, action.reason, action.retry_after_ms)

    @_apply.register
    def _apply_abort(self, action: Abort) -> None:
        call, _reply = self._running[action.call_id]
        call.stop()

    def _finish(self, call: Call, info: AnswerInfo) -> None:
        _call, reply = self._running.pop(call.call_id)
        was_complete = info.outcome is Outcome.ANSWERED
        self._record_dependencies(call)
        self._handle(Finished(call.call_id, was_complete=was_complete))
        self._send_reply(call, reply, info)

    def _record_dependencies(self, call: Call) -> None:
        now = self.network.loop.now
        thresholds = self._thresholds.advertised(now, call.threshold_services)
        self._thresholds.record_dependencies(
            call.request.kind.name, list(thresholds), now
        )

    def _refuse(
        self,
        call: Call,
        reply: Reply,
        reason: RefusalReason,
        wait_ms: int,
    ) -> None:
        run_record = self.network.run_record
        run_record.refusals[call.step.service, reason.value] += 1
        call.is_over = True
        info = failed(call, reason, Outcome.NOT_RUN, wait_ms)
        self._send_reply(call, reply, info)

    def _send_reply(self, call: Call, reply: Reply, info: AnswerInfo) -> None:
        info.unspent = call.unspent
        if self._variant.advertises_thresholds:
            thresholds = self._thresholds.advertised(
                self.network.loop.now, call.threshold_services
            )
            own_threshold = {call.step.service: self.admission.threshold}
            info.threshold_by_service = thresholds | own_threshold
        info.load = self.admission.load()
        reply(info)
