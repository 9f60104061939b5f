"""Metadata that accompanies the body of an answer."""

from lovageshunt._record import Record
from lovageshunt.calls._context import HomeNode
from lovageshunt.calls._outcome import Outcome, RefusalReason


class LoadReport(Record):
    """A target's load, as known to its node when the answer was sent.

    ``running`` and ``waiting`` are numbers of calls, ``limit`` is the
    current concurrency limit and ``service_ms`` a typical service time.
    """

    __slots__ = ('running', 'waiting', 'limit', 'service_ms')

    def __init__(
        self,
        *,
        running: int,
        waiting: int,
        limit: int,
        service_ms: float,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.limit = limit
        self.service_ms = service_ms


class AnswerInfo(Record):
    """The control metadata of an answer.

    ``call_id`` must equal that of the call. ``unspent`` is the number of
    allotted retries that were not used. ``threshold_by_service`` holds the
    admission thresholds of downstream services. ``retry_after_ms`` is the
    time to wait before a retry, above 0 unless the outcome is ``ANSWERED``.
    ``home`` is the node to which the call is bound if it must run at most
    once, ``body_length`` is in bytes, ``suspicion`` counts the targets that
    failed while running the call, and ``calls_below`` is false for a service
    that calls no other.
    """

    __slots__ = (
        'call_id',
        'outcome',
        'reason',
        'retry_after_ms',
        'unspent',
        'threshold_by_service',
        'load',
        'home',
        'body_length',
        'suspicion',
        'calls_below',
    )

    def __init__(
        self,
        *,
        call_id: str,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        retry_after_ms: int = 0,
        unspent: int = 0,
        threshold_by_service: dict[str, int] | None = None,
        load: LoadReport | None = None,
        home: HomeNode | None = None,
        body_length: int = 0,
        suspicion: int = 0,
        calls_below: bool = True,
    ) -> None:
        self.call_id = call_id
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.unspent = unspent
        self.threshold_by_service = threshold_by_service or {}
        self.load = load
        self.home = home
        self.body_length = body_length
        self.suspicion = suspicion
        self.calls_below = calls_below
