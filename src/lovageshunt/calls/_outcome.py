"""The outcomes of a call that are guaranteed to its caller."""

from enum import StrEnum


class Outcome(StrEnum):
    """The four possible outcomes of a call.

    ``ANSWERED``: the complete answer arrived. ``NOT_RUN``: no attempt
    dispatched any part of the call, here or downstream. ``FAILED``: a part
    of it ran and no complete answer will arrive. ``UNKNOWN``: it may have
    run, be running or run later.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class RefusalReason(StrEnum):
    """Why a call was refused or abandoned; the account counts by these."""

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
    UNKNOWN_KEY = 'unknown_key'
    ACCOUNT_LIMIT = 'account_limit'
