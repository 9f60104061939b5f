"""Events that the quarantine handles and actions that it requests."""

from enum import StrEnum

from lovageshunt._record import Record


class Suspicion(StrEnum):
    """The state of a fingerprint, as nodes report it to one another.

    ``SUSPECTED``: it was in flight when a target crashed. ``ON_TRIAL``: the
    suspect runs now, and must not run elsewhere meanwhile. ``CLEARED``: the
    suspect finished without a crash. ``CONDEMNED``: it crashed a target again,
    or crashed one and must not be repeated.
    """

    SUSPECTED = 'suspected'
    ON_TRIAL = 'on_trial'
    CLEARED = 'cleared'
    CONDEMNED = 'condemned'


class SuspectReport(Record):
    """A fingerprint and its reported state."""

    __slots__ = ('fingerprint', 'suspicion')

    def __init__(self, *, fingerprint: str, suspicion: Suspicion) -> None:
        self.fingerprint = fingerprint
        self.suspicion = suspicion


class CallStarting(Record):
    """A call is about to be dispatched to the target.

    ``suspicion`` is the number of targets that crashed while running the
    call, according to its context.
    """

    __slots__ = ('call_id', 'fingerprint', 'suspicion', 'is_repeatable')

    def __init__(
        self,
        *,
        call_id: str,
        fingerprint: str,
        is_repeatable: bool,
        suspicion: int = 0,
    ) -> None:
        self.call_id = call_id
        self.fingerprint = fingerprint
        self.suspicion = suspicion
        self.is_repeatable = is_repeatable


class CallEnded(Record):
    """A call ended while its target stayed up.

    ``is_complete`` is true when the target answered, with any status. A call
    that was cut off does not clear its fingerprint.
    """

    __slots__ = ('call_id', 'is_complete')

    def __init__(self, *, call_id: str, is_complete: bool) -> None:
        self.call_id = call_id
        self.is_complete = is_complete


class TargetCrashed(Record):
    """The target crashed; all its calls in flight ended."""

    __slots__ = ()


class PeerReported(Record):
    """A peer sent reports on fingerprints."""

    __slots__ = ('reports',)

    def __init__(self, *, reports: tuple[SuspectReport, ...]) -> None:
        self.reports = reports


class Proceed(Record):
    """Dispatch the call to the target."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class RefuseTemporarily(Record):
    """Answer *not run*, reason quarantine: a suspect is running already.

    It may be another one, or the same one on another target.
    """

    __slots__ = ('call_id', 'retry_after_ms')

    def __init__(self, *, call_id: str, retry_after_ms: int) -> None:
        self.call_id = call_id
        self.retry_after_ms = retry_after_ms


class FailCondemned(Record):
    """Answer *failed*, reason quarantine, without running the call."""

    __slots__ = ('call_id', 'retry_after_ms')

    def __init__(self, *, call_id: str, retry_after_ms: int) -> None:
        self.call_id = call_id
        self.retry_after_ms = retry_after_ms


class NotifyPeers(Record):
    """Send reports to every node of the service."""

    __slots__ = ('reports',)

    def __init__(self, *, reports: tuple[SuspectReport, ...]) -> None:
        self.reports = reports


QuarantineEvent = CallStarting | CallEnded | TargetCrashed | PeerReported
QuarantineAction = Proceed | RefuseTemporarily | FailCondemned | NotifyPeers
