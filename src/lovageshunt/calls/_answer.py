"""What an answer says beside its body."""

from lovageshunt._record import Record
from lovageshunt.calls._context import HomeNode
from lovageshunt.calls._outcome import Outcome, RefusalReason


class LoadReport(Record):
    """A target's load as its node saw it when the answer left.

    ``running`` and ``waiting`` count calls, ``limit`` is the concurrency
    limit in force, ``service_ms`` a typical time of service.
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
        """Take the four readings."""
        self.running = running
        self.waiting = waiting
        self.limit = limit
        self.service_ms = service_ms


class AnswerInfo(Record):
    """The control part of an answer.

    ``call_id`` must equal the call's own. ``unspent`` gives back retries of
    the share. ``threshold_by_service`` tells callers which levels the
    services below refuse. ``retry_after_ms`` says when to come back and is
    always above 0 unless the outcome is ``ANSWERED``. ``home`` is the stamp
    that the node put on a call that must run at most once, ``calls_below`` is
    false for a service that calls no other.
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
        """Take every field by name; the defaults suit a plain answer."""
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
