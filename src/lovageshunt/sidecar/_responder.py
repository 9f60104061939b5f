"""Responds to requests: with the target's response, or in its place."""

from typing import Any, Final

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.links import RunAnswer
from lovageshunt.sidecar._fingerprint import fingerprint_of_request
from lovageshunt.sidecar._journal import DecisionLog
from lovageshunt.sidecar._metrics import SidecarMetrics
from lovageshunt.sidecar._origin_call import OriginCall
from lovageshunt.sidecar.checks import Refusal, RefusalStatus

_MS_PER_SECOND: Final = 1000
_NOT_FOUND: Final = 404
_BAD_GATEWAY: Final = 502
_GATEWAY_TIMEOUT: Final = 504
_REFUSAL_STATUSES: Final = frozenset(RefusalStatus)
#: ``retry-after`` of a failure that does not specify one, in ms.
_DEFAULT_RETRY_MS: Final = 200


class Responder:
    """Writes, counts and logs the responses of requests.

    Responses made here echo the request's attempt id in the header field
    ``attempt_id_field``.
    """

    __slots__ = ('_attempt_id_field', '_metrics', '_decision_log')

    def __init__(
        self,
        attempt_id_field: bytes,
        metrics: SidecarMetrics,
    ) -> None:
        self._attempt_id_field = attempt_id_field
        self._metrics = metrics
        self._decision_log = DecisionLog()

    def forward(self, call: OriginCall, answer: RunAnswer) -> None:
        """Forward a target's own response, whatever its status."""
        call.connection.respond(
            call.request,
            status=answer.status,
            fields=answer.fields,
            body=answer.body,
        )
        self._metrics.count_response(answer.status, call.age_seconds)
        self._decision_log.write_sampled(
            call.attempt_id,
            status=answer.status,
            **call.as_logged(),
        )

    def send_not_found(self, call: OriginCall) -> None:
        """Respond that no route matches the request."""
        self._respond(call, _NOT_FOUND, 'no_route')

    def send_refusal(self, call: OriginCall, refusal: Refusal) -> None:
        """Respond that the request has not run.

        If an earlier attempt may have run, the status is 502 instead.
        """
        self._respond(
            call,
            _BAD_GATEWAY if call.has_run else refusal.status,
            refusal.reason,
            refusal.retry_ms,
            **refusal.inputs,
        )

    def send_failure(self, call: OriginCall, answer: RunAnswer) -> None:
        """Respond with the outcome of a request whose last attempt failed."""
        is_not_run = answer.outcome is Outcome.NOT_RUN and not call.has_run
        self._respond(
            call,
            RefusalStatus.UNAVAILABLE if is_not_run else _BAD_GATEWAY,
            str(answer.reason),
            answer.retry_after_ms or _DEFAULT_RETRY_MS,
        )

    def send_timeout(self, call: OriginCall) -> None:
        """Respond that no response arrived before the deadline."""
        self._respond(call, _GATEWAY_TIMEOUT, 'deadline', _DEFAULT_RETRY_MS)

    def note_disconnect(self, call: OriginCall) -> None:
        """Count and log a client that disconnected before its response."""
        self._metrics.count_abandoned()
        self._decision_log.write(
            'client disconnected before the response',
            call.attempt_id,
            **call.as_logged(),
        )

    def note_retry(self, call: OriginCall, answer: RunAnswer) -> None:
        """Count and log that a request is sent to another target."""
        self._metrics.count_retry(answer.reason)
        self._decision_log.write(
            'retrying at another target',
            call.attempt_id,
            after=answer.outcome,
            reason=answer.reason,
            **call.as_logged(),
        )

    def _respond(
        self,
        call: OriginCall,
        status: int,
        reason: str,
        retry_ms: int = 0,
        **inputs: Any,
    ) -> None:
        """Respond in place of a target; ``inputs`` explain it in the log."""
        if reason == RefusalReason.QUARANTINE:
            inputs['fingerprint'] = fingerprint_of_request(call.request)
        self._metrics.count_response(status, call.age_seconds, reason)
        self._decision_log.write(
            'refused' if status in _REFUSAL_STATUSES else 'failed',
            call.attempt_id,
            status=status,
            reason=reason,
            retry_ms=retry_ms,
            **call.as_logged(),
            **inputs,
        )
        fields = b''
        if retry_ms:
            fields = b'retry-after: %.3f\r\n' % (retry_ms / _MS_PER_SECOND)
        if call.attempt_id:
            fields += b'%b: %b\r\n' % (self._attempt_id_field, call.attempt_id)
        call.connection.respond(
            call.request, status=status, fields=fields, body=b''
        )
