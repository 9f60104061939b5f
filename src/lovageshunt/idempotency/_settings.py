"""Time and size limits of at-most-once execution."""

from lovageshunt._record import Record


class RunOnceSettings(Record):
    """Limits of one node's table, per service.

    - ``retention_seconds``: maximum age at which a request may be resent.
    - ``transit_seconds``: maximum time in transit to a process that is not
      suspended; a stated age may be too low by as much.
    - ``settle_seconds``: minimum time after the start before a node accepts
      first attempts.
    - ``inquiry_seconds``: timeout of an inquiry to the peers.
    - ``caution_seconds``: time after a suspension during which a first
      attempt needs an inquiry.
    - ``unstated_age_ms``: age assumed for a request that states none.
    - ``doubt_retry_ms``: retry delay sent with *unknown* when a call is in
      doubt, and when the table is full.
    - ``refusal_retry_ms``: retry delay sent with other refusals.
    - ``max_entries``: maximum number of calls in the table.
    - ``max_answer_bytes``: maximum body size of one stored answer.
    - ``max_table_bytes``: maximum total body size of all stored answers.
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
