"""What a program asks of a client, and what it gets."""

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
    """One call of a service; ``path`` carries the query, if any."""

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
        """Take the request's parts."""
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers or {}
        self.body = body


class Answer(Record):
    """A whole answer to a call; header names ignore case."""

    __slots__ = ('request_id', 'status', 'headers', 'body')

    def __init__(
        self,
        *,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Take the parts of the answer."""
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
    """Return the typed error for an outcome that is no answer."""
    named = RefusalReason.TARGET_FAILED if reason is None else reason
    # Every failure says when to come back, so 0 is no valid wait.
    wait_ms = max(1, retry_after_ms)
    if outcome is Outcome.NOT_RUN:
        return CallNotRunError(request_id, named, wait_ms)
    if outcome is Outcome.FAILED:
        return CallFailedError(request_id, named, wait_ms)
    return CallUnknownError(request_id, named, wait_ms)
