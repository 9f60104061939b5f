"""What the quarantine is told, and what it asks of its node."""

from enum import StrEnum

from lovageshunt._record import Record


class Suspicion(StrEnum):
    """What nodes tell one another of a fingerprint.

    ``SUSPECTED``: in flight when a target went down. ``ON_TRIAL``: a suspect
    runs now, so it runs nowhere else. ``CLEARED``: a suspect finished well.
    ``CONDEMNED``: it took down a target again, or may not run again.
    """

    SUSPECTED = 'suspected'
    ON_TRIAL = 'on_trial'
    CLEARED = 'cleared'
    CONDEMNED = 'condemned'


class SuspectReport(Record):
    """One fingerprint and what is to be held against it."""

    __slots__ = ('fingerprint', 'suspicion')

    def __init__(self, *, fingerprint: str, suspicion: Suspicion) -> None:
        """Take the fingerprint and the news of it."""
        self.fingerprint = fingerprint
        self.suspicion = suspicion


class CallStarting(Record):
    """A call would be dispatched to the target next.

    ``suspicion`` counts the targets that the call's context says went down
    while running it.
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
        """Name the call and its fingerprint."""
        self.call_id = call_id
        self.fingerprint = fingerprint
        self.suspicion = suspicion
        self.is_repeatable = is_repeatable


class CallEnded(Record):
    """A call ended while its target stayed up.

    ``is_complete`` is true when the target answered it, with whatever
    status; a call that was cut off clears nobody.
    """

    __slots__ = ('call_id', 'is_complete')

    def __init__(self, *, call_id: str, is_complete: bool) -> None:
        """Name the call and whether its target answered."""
        self.call_id = call_id
        self.is_complete = is_complete


class TargetCrashed(Record):
    """The target went down; every call in flight ended with it."""

    __slots__ = ()


class PeerReported(Record):
    """A peer tells what it knows of fingerprints."""

    __slots__ = ('reports',)

    def __init__(self, *, reports: tuple[SuspectReport, ...]) -> None:
        """Take the reports."""
        self.reports = reports


class Proceed(Record):
    """Dispatch the call."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Name the call."""
        self.call_id = call_id


class RefuseTemporarily(Record):
    """Answer *not run*, quarantine: another suspect, or this one, runs."""

    __slots__ = ('call_id', 'retry_after_ms')

    def __init__(self, *, call_id: str, retry_after_ms: int) -> None:
        """Name the call and when to come back."""
        self.call_id = call_id
        self.retry_after_ms = retry_after_ms


class FailCondemned(Record):
    """Answer *failed*, quarantine, at once."""

    __slots__ = ('call_id', 'retry_after_ms')

    def __init__(self, *, call_id: str, retry_after_ms: int) -> None:
        """Name the call and when to come back."""
        self.call_id = call_id
        self.retry_after_ms = retry_after_ms


class NotifyPeers(Record):
    """Send reports to every node of the service."""

    __slots__ = ('reports',)

    def __init__(self, *, reports: tuple[SuspectReport, ...]) -> None:
        """Take the reports."""
        self.reports = reports


QuarantineEvent = CallStarting | CallEnded | TargetCrashed | PeerReported
QuarantineAction = Proceed | RefuseTemporarily | FailCondemned | NotifyPeers
