"""Client requests, the calls made for them, and the record of a run."""

from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Protocol

from bench._deployment import Kind, Step
from lovageshunt.calls import (
    AnswerInfo,
    Outcome,
    RefusalReason,
    level_of,
    rank_of,
)

Reply = Callable[[AnswerInfo], None]
_call_numbers = count()


class Request:
    """A client's request and the work it caused at all hops.

    ``created_at`` is in simulated seconds. ``attempts`` counts those of the
    client; ``retries`` and ``executions`` count over all hops.
    """

    def __init__(self, request_id: str, kind: Kind, created_at: float) -> None:
        self.request_id = request_id
        self.kind = kind
        self.created_at = created_at
        self.level = level_of(kind.importance, rank_of(request_id))
        self.attempts = 0
        self.retries = 0
        self.executions = 0
        self.is_successful = False
        self.failure_reason: RefusalReason | None = None


class Call:
    """One attempt of a call of a service.

    ``deadline`` is in simulated seconds. ``retry_allowance`` is the number of
    retries that may be made for it downstream, ``unspent`` those left.
    ``threshold_services`` are the services whose thresholds came back with
    downstream replies. ``stop`` cancels the call at the target.
    """

    def __init__(
        self,
        request: Request,
        step: Step,
        *,
        deadline: float,
        retry_allowance: int = 0,
    ) -> None:
        self.call_id = str(next(_call_numbers))
        self.request = request
        self.step = step
        self.deadline = deadline
        self.retry_allowance = retry_allowance
        self.unspent = retry_allowance
        self.is_over = False
        self.threshold_services: set[str] = set()
        self.stop: Callable[[], None] = _do_nothing


class CallHandle(Protocol):
    """A downstream call that its parent can cancel."""

    def cancel(self) -> None:
        """Cancel the call; its reply callback is not called afterwards."""


class RunRecord:
    """All requests of a run, and refusals by service and reason."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.refusals: Counter[tuple[str, str]] = Counter()


def answered(call: Call) -> AnswerInfo:
    """Return the answer of a call that succeeded."""
    return AnswerInfo(call_id=call.call_id, outcome=Outcome.ANSWERED)


def failed(
    call: Call,
    reason: RefusalReason | None,
    outcome: Outcome = Outcome.FAILED,
    retry_after_ms: int = 1,
) -> AnswerInfo:
    """Return the answer of a call that failed or was refused."""
    return AnswerInfo(
        call_id=call.call_id,
        outcome=outcome,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def _do_nothing() -> None:
    """Default of ``Call.stop``: the call has not reached a target."""
