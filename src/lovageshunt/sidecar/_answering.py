"""Gives a request its answer: the target's own, or one in its place."""

from typing import Any, Final

from lovageshunt.calls import Outcome
from lovageshunt.links import RunAnswer
from lovageshunt.pressure import RootDecision
from lovageshunt.sidecar._journal import Journal
from lovageshunt.sidecar._meters import Meters
from lovageshunt.sidecar._origin_call import OriginCall

_MS_PER_SECOND: Final = 1000
_NOT_FOUND: Final = 404
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
#: When to come back after a failure that tells no time itself, in ms.
_RETRY_MS: Final = 200


class Answering:
    """Writes answers, counts and logs them."""

    __slots__ = ('_attempt_id_field', '_meters', '_journal')

    def __init__(self, attempt_id_field: bytes, meters: Meters) -> None:
        """Echo a request's id in the header field of that name."""
        self._attempt_id_field = attempt_id_field
        self._meters = meters
        self._journal = Journal()

    def deliver(self, call: OriginCall, answer: RunAnswer) -> None:
        """Pass a target's own answer on, whatever it says."""
        call.connection.respond(
            status=answer.status,
            fields=answer.fields,
            body=answer.body,
        )
        self._meters.answered(answer.status, call.age_seconds)
        self._journal.ordinary(
            call.attempt_id,
            status=answer.status,
            **call.as_logged(),
        )

    def not_found(self, call: OriginCall) -> None:
        """Answer that no route has the request."""
        self._answer(call, _NOT_FOUND, 'no_route')

    def not_run(
        self,
        call: OriginCall,
        reason: str,
        retry_ms: int,
        decision: RootDecision | None = None,
    ) -> None:
        """Answer that the request has not run and will not, and come back.

        One of which an attempt may have run is told to have failed instead.
        """
        inputs: dict[str, Any] = {}
        if decision is not None:
            inputs['full'] = decision.service
            inputs['short_of'] = decision.shortage
            inputs['share'] = round(decision.share, 3)
        status = _BAD_GATEWAY if call.has_run else _UNAVAILABLE
        self._answer(call, status, reason, retry_ms, **inputs)

    def failed(self, call: OriginCall, answer: RunAnswer) -> None:
        """Answer what is known of a request whose last attempt failed."""
        reason = str(answer.reason)
        retry_ms = answer.retry_after_ms or _RETRY_MS
        if answer.outcome is Outcome.NOT_RUN:
            self.not_run(call, reason, retry_ms)
        else:
            self._answer(call, _BAD_GATEWAY, reason, retry_ms)

    def late(self, call: OriginCall) -> None:
        """Answer that nothing came until the deadline."""
        self._answer(call, _GATEWAY_TIMEOUT, 'deadline', _RETRY_MS)

    def note_left(self, call: OriginCall) -> None:
        """Note that the client left before its answer."""
        self._meters.abandoned()
        self._journal.decided(
            'client left',
            call.attempt_id,
            **call.as_logged(),
        )

    def note_retry(self, call: OriginCall, answer: RunAnswer) -> None:
        """Note that a request is sent to another target."""
        self._meters.retried(answer.reason)
        self._journal.decided(
            'sent again',
            call.attempt_id,
            after=answer.outcome,
            reason=answer.reason,
            **call.as_logged(),
        )

    def _answer(
        self,
        call: OriginCall,
        status: int,
        reason: str,
        retry_ms: int = 0,
        **inputs: Any,
    ) -> None:
        """Answer in place of a target; ``inputs`` decided it."""
        self._meters.answered(status, call.age_seconds, reason)
        self._journal.decided(
            'refused' if status == _UNAVAILABLE else 'failed',
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
        call.connection.respond(status=status, fields=fields, body=b'')
