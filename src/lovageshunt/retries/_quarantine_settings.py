"""When the quarantine suspects and condemns calls, and for how long."""

from lovageshunt._record import Record


class QuarantineSettings(Record):
    """When calls are suspects and condemned, how long, and how many.

    A call becomes a suspect after ``crashes_to_suspect`` crashes, each of a run
    that began after the crash before was known, and is condemned after
    ``crashes_to_condemn``. Entries expire after ``suspect_seconds`` or
    ``condemned_seconds``; beyond ``max_suspects`` the oldest is dropped.
    ``busy_retry_ms`` is the retry time of a suspect that is refused while
    another one runs, ``spare_retry_ms`` of
    one that waits for a second target. ``trial_seconds`` is how long a peer's
    report of a trial keeps the suspect from running here.
    """

    __slots__ = (
        'crashes_to_suspect',
        'crashes_to_condemn',
        'suspect_seconds',
        'condemned_seconds',
        'trial_seconds',
        'busy_retry_ms',
        'spare_retry_ms',
        'max_suspects',
    )

    def __init__(
        self,
        *,
        crashes_to_suspect: int = 1,
        crashes_to_condemn: int = 2,
        suspect_seconds: float = 300,
        condemned_seconds: float = 600,
        trial_seconds: float = 10,
        busy_retry_ms: int = 100,
        spare_retry_ms: int = 1000,
        max_suspects: int = 4096,
    ) -> None:
        self.crashes_to_suspect = crashes_to_suspect
        self.crashes_to_condemn = crashes_to_condemn
        self.suspect_seconds = suspect_seconds
        self.condemned_seconds = condemned_seconds
        self.trial_seconds = trial_seconds
        self.busy_retry_ms = busy_retry_ms
        self.spare_retry_ms = spare_retry_ms
        self.max_suspects = max_suspects
