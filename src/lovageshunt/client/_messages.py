"""The calls that a program makes, their answers and errors."""

from collections.abc import Mapping

from lovageshunt._record import Record
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.errors import (
    CallError,
    CallFailedError,
    CallNotRunError,
    CallUnknownError,
)


class Call(Record):
    """One call of a service; ``path`` includes the query, if any."""

    __slots__ = ('service', 'method', 'path', 'headers', 'body')

    def __init__(
        self,
        *,
        service: str,
        path: str,
        method: str = 'GET',
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
    ) -> None:
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers or {}
        self.body = body


class Answer(Record):
    """A complete answer to a call; header names are case-insensitive."""

    __slots__ = ('request_id', 'status', 'headers', 'body')

    def __init__(
        self,
        *,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        self.request_id = request_id
        self.status = status
        self.headers = headers
        self.body = body


def call_error(
    request_id: str,
    outcome: Outcome,
    reason: RefusalReason | None,
    retry_after_ms: int,
) -> CallError:
    """Return the typed error of a call that was not answered.

    No ``reason`` means that the target failed.
    """
    known_reason = RefusalReason.TARGET_FAILED if reason is None else reason
    # Every error carries a retry-after, so 0 is not valid.
    valid_retry_after_ms = max(1, retry_after_ms)
    if outcome is Outcome.NOT_RUN:
        return CallNotRunError(request_id, known_reason, valid_retry_after_ms)
    if outcome is Outcome.FAILED:
        return CallFailedError(request_id, known_reason, valid_retry_after_ms)
    return CallUnknownError(request_id, known_reason, valid_retry_after_ms)
