"""Root requests, the calls made for them, and what became of both."""

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
_numbers = count()


class Request:
    """One person's request and the work it caused."""

    def __init__(self, request_id: str, kind: Kind, born: float) -> None:
        """Start with nothing done."""
        self.request_id = request_id
        self.kind = kind
        self.born = born
        self.level = level_of(kind.importance, rank_of(request_id))
        self.attempts = 0
        self.retries = 0
        self.executions = 0
        self.is_good = False
        self.cause: RefusalReason | None = None


class Call:
    """One attempt of a call of a service."""

    def __init__(
        self,
        request: Request,
        step: Step,
        *,
        deadline: float,
        share: int = 0,
    ) -> None:
        """Give it an id of its own."""
        self.call_id = str(next(_numbers))
        self.request = request
        self.step = step
        self.deadline = deadline
        self.share = share
        self.unspent = share
        self.is_over = False
        self.asked: set[str] = set()
        self.stop: Callable[[], None] = _do_nothing


class Handle(Protocol):
    """A call below, as its parent sees it."""

    def cancel(self) -> None:
        """Give the call up; its end is told no more."""


class Book:
    """What happened at the hops, over all requests."""

    def __init__(self) -> None:
        """Start empty."""
        self.requests: list[Request] = []
        self.refusals: Counter[tuple[str, str]] = Counter()


def answered(call: Call) -> AnswerInfo:
    """Return a plain answer to a call."""
    return AnswerInfo(call_id=call.call_id, outcome=Outcome.ANSWERED)


def failed(
    call: Call,
    reason: RefusalReason | None,
    outcome: Outcome = Outcome.FAILED,
    retry_after_ms: int = 1,
) -> AnswerInfo:
    """Return an answer that says that a call failed."""
    return AnswerInfo(
        call_id=call.call_id,
        outcome=outcome,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def _do_nothing() -> None:
    """Stop nothing: the call does not run."""
