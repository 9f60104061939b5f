"""Accounting, tracing and logging of the calls of one node."""

from logging import getLogger
from typing import Final

from lovageshunt.account import Account
from lovageshunt.calls import LOWEST_IMPORTANCE, Outcome, RefusalReason
from lovageshunt.clock import now
from lovageshunt.node.gate._messages import Reply
from lovageshunt.node.serving._call import CallInProgress
from lovageshunt.node.serving._http_boundary import ParsedCall
from lovageshunt.observability import ActiveSpan, Metrics, Traces
from lovageshunt.rules import KindRule

_log = getLogger(__name__)
_IMPORTANCES: Final = range(LOWEST_IMPORTANCE + 1)


class CallMeter:
    """Records each call when it arrives and again when it ends."""

    def __init__(
        self,
        service: str,
        *,
        account: Account,
        traces: Traces,
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._account = account
        self._traces = traces
        self._queue_seconds = metrics.buckets(
            'lovageshunt_queue_seconds',
            service,
        )
        self._call_seconds = [
            metrics.buckets(
                'lovageshunt_call_seconds',
                service,
                str(importance),
            )
            for importance in _IMPORTANCES
        ]

    def arrived(self, parsed: ParsedCall) -> ActiveSpan:
        """Count a call that arrived, and start its span."""
        context = parsed.context
        kind = parsed.rule.kind
        self._account.arrived(
            self._service,
            kind,
            context.importance,
            is_retry=context.attempt > 1,
            is_external=parsed.is_external,
        )
        return self._traces.start(
            f'{self._service} {kind}',
            trace_parent=context.trace_parent,
            request_id=context.request_id,
            call_id=context.call_id,
            service=self._service,
        )

    def rejected(
        self,
        rule: KindRule,
        outcome: Outcome,
        reason: RefusalReason,
        *,
        is_external: bool,
    ) -> None:
        """Count a request that was refused before it became a call."""
        line = (self._service, rule.kind, rule.importance)
        self._account.arrived(
            *line,
            is_retry=reason is RefusalReason.RETRY_BOUND,
            is_external=is_external,
        )
        self._account.ended(*line, outcome, reason)

    def ended(self, call: CallInProgress, reply: Reply) -> None:
        """Record the outcome and durations of a call, and end its span."""
        ending = reply.ending
        context = call.parsed.context
        is_answered = ending.outcome is Outcome.ANSWERED
        self._account.ended(
            self._service,
            call.parsed.rule.kind,
            context.importance,
            ending.outcome,
            ending.reason,
            was_wasted=reply.ran and not is_answered,
            ran=reply.ran,
        )
        self._traces.end(call.span, ending.outcome, ending.reason)
        if call.forwarded_at is not None:
            waited = call.forwarded_at - call.arrived_at
            self._queue_seconds.observe(waited)
        if is_answered:
            elapsed = now() - call.arrived_at
            self._call_seconds[context.importance].observe(elapsed)
            return
        _log.info(
            'call ended without an answer: outcome %s, reason %s',
            ending.outcome,
            ending.reason,
            extra={
                'request_id': context.request_id,
                'trace_id': call.span.trace_id,
            },
        )
