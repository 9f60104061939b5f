"""Bounds of the decision to run a call at most once."""

from lovageshunt._record import Record


class RunOnceSettings(Record):
    """Times and sizes.

    ``retention_seconds`` is how old a request may grow and still be resent.
    ``transit_seconds`` bounds how long a message may be on its way to a
    process that is not suspended; a stated age may be short by as much.
    ``settle_seconds`` is the least time before a node takes first attempts.
    ``caution_seconds`` is how long after a suspension a first attempt
    is inquired about. ``unstated_age_ms`` stands for an age not stated.
    ``max_answer_bytes`` bounds the body of one kept answer and
    ``max_table_bytes`` that of all together.
    """

    __slots__ = (
        'retention_seconds',
        'transit_seconds',
        'settle_seconds',
        'inquiry_seconds',
        'caution_seconds',
        'unstated_age_ms',
        'doubt_retry_ms',
        'refusal_retry_ms',
        'max_entries',
        'max_answer_bytes',
        'max_table_bytes',
    )

    def __init__(
        self,
        *,
        retention_seconds: float = 900,
        transit_seconds: float = 5,
        settle_seconds: float = 5,
        inquiry_seconds: float = 0.25,
        caution_seconds: float = 2,
        unstated_age_ms: int = 60_000,
        doubt_retry_ms: int = 1000,
        refusal_retry_ms: int = 200,
        max_entries: int = 20_000,
        max_answer_bytes: int = 4096,
        max_table_bytes: int = 4_194_304,
    ) -> None:
        """Take every bound by name."""
        self.retention_seconds = retention_seconds
        self.transit_seconds = transit_seconds
        self.settle_seconds = settle_seconds
        self.inquiry_seconds = inquiry_seconds
        self.caution_seconds = caution_seconds
        self.unstated_age_ms = unstated_age_ms
        self.doubt_retry_ms = doubt_retry_ms
        self.refusal_retry_ms = refusal_retry_ms
        self.max_entries = max_entries
        self.max_answer_bytes = max_answer_bytes
        self.max_table_bytes = max_table_bytes
