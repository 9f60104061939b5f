"""Why a request is not sent to any target."""

from enum import IntEnum
from typing import Any

from lovageshunt._record import Record
from lovageshunt.calls import RefusalReason


class RefusalStatus(IntEnum):
    """The status of the answer to a request that is not sent.

    Each states that the request has not run and will not run.
    """

    UNKNOWN_KEY = 401
    LIMITED = 429
    UNAVAILABLE = 503


class Refusal(Record):
    """A request is answered here instead of being sent.

    It may be sent again after ``retry_ms``, which is 0 if that is of no use.
    ``inputs`` explain the decision in the log.
    """

    __slots__ = ('reason', 'status', 'retry_ms', 'inputs')

    def __init__(
        self,
        *,
        reason: RefusalReason,
        status: RefusalStatus = RefusalStatus.UNAVAILABLE,
        retry_ms: int = 0,
        inputs: dict[str, Any] | None = None,
    ) -> None:
        self.reason = reason
        self.status = status
        self.retry_ms = retry_ms
        self.inputs = inputs or {}
