"""The answers that a node gives to orders."""

from logging import INFO, getLogger
from typing import Final

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.http1 import Response, forwarded_fields
from lovageshunt.links import RunAnswer
from lovageshunt.observability import may_log
from lovageshunt.sidecar._classification import ClassifiedResponse
from lovageshunt.sidecar._run import Run

_log = getLogger(__name__)
#: How long the sender of an order without room is told to wait, in ms.
_NO_ROOM_RETRY_MS: Final = 1000


def answer_of(
    run: Run,
    classified: ClassifiedResponse,
    response: Response | None,
    load: LoadReport,
) -> RunAnswer:
    """Return the answer to an order whose exchange with the target ended."""
    if classified.outcome is Outcome.ANSWERED and response is not None:
        return RunAnswer(
            outcome=classified.outcome,
            load=load,
            status=response.status,
            fields=forwarded_fields(response.headers, frozenset()),
            body=response.body,
        )
    reason = classified.reason
    if classified.reason is RefusalReason.CANCELLED and run.ended is not None:
        # The order was not abandoned, so the deadline cancelled it.
        reason = RefusalReason.DEADLINE
    if may_log(INFO):
        _log.info(
            'run failed',
            extra={
                'request_id': run.order.attempt_id.decode('latin-1'),
                'outcome': classified.outcome,
                'reason': reason,
                'route': run.order.kind,
                'target': run.order.target_id,
                'detail': classified.detail,
            },
        )
    return RunAnswer(outcome=classified.outcome, reason=reason, load=load)


def refusal_of_suspect(retry_ms: int, load: LoadReport) -> RunAnswer:
    """Return the answer to an order that may crash the target: not sent."""
    return RunAnswer(
        outcome=Outcome.NOT_RUN,
        reason=RefusalReason.QUARANTINE,
        retry_after_ms=retry_ms,
        load=load,
    )


def refusal_of_departed(load: LoadReport) -> RunAnswer:
    """Return the answer to an order that is not sent: its target has left."""
    return RunAnswer(
        outcome=Outcome.NOT_RUN,
        reason=RefusalReason.LEAVING,
        load=load,
    )


def refusal_without_room(load: LoadReport) -> RunAnswer:
    """Return the answer to an order that there is no memory for: not run."""
    return RunAnswer(
        outcome=Outcome.NOT_RUN,
        reason=RefusalReason.QUEUE_FULL,
        retry_after_ms=_NO_ROOM_RETRY_MS,
        load=load,
    )
