"""How a call ended, as its caller may rely on it."""

from enum import StrEnum


class Outcome(StrEnum):
    """The four ends of a call; they are never merged.

    ``ANSWERED``: the whole answer arrived. ``NOT_RUN``: nothing of the call
    was dispatched by any attempt, here or below. ``FAILED``: some of it ran
    and it is certain that no complete answer will come. ``UNKNOWN``: it may
    have run, be running or run later.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class RefusalReason(StrEnum):
    """Why a call was given up on; the account counts by these."""

    OVERLOAD = 'overload'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    LEAVING = 'leaving'
    SETTLING = 'settling'
    NO_TARGET = 'no_target'
    RETRY_BOUND = 'retry_bound'
    QUARANTINE = 'quarantine'
    IN_DOUBT = 'in_doubt'
    TABLE_FULL = 'table_full'
    TARGET_FAILED = 'target_failed'
    CONNECTION_LOST = 'connection_lost'
    STALE_PICTURE = 'stale_picture'
    FORBIDDEN = 'forbidden'
    MALFORMED = 'malformed'
    SHED = 'shed'
