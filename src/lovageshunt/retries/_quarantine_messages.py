"""Events that the quarantine handles and actions that it requests."""

from enum import StrEnum
from typing import Any, Self

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
    """A fingerprint and its reported state.

    ``crashes`` counts the crashes that accuse it, each but the first of a call
    that began after the one before was known. ``seconds_left`` is how long
    the entry is still kept; 0 stands for the whole time.
    """

    __slots__ = ('fingerprint', 'suspicion', 'crashes', 'seconds_left')

    def __init__(
        self,
        *,
        fingerprint: str,
        suspicion: Suspicion,
        crashes: int = 1,
        seconds_left: float = 0,
    ) -> None:
        self.fingerprint = fingerprint
        self.suspicion = suspicion
        self.crashes = crashes
        self.seconds_left = seconds_left

    @classmethod
    def from_fields(cls, fields: dict[str, Any]) -> Self:
        """Decode a report, also one of a node that counts no crashes.

        Raises ``LookupError``, ``TypeError`` or ``ValueError`` if malformed.
        """
        fingerprint = fields['fingerprint']
        if not isinstance(fingerprint, str):
            raise TypeError(f'fingerprint is not a string: {fingerprint!r}')
        return cls(
            fingerprint=fingerprint,
            suspicion=Suspicion(fields['suspicion']),
            crashes=int(fields.get('crashes', 1)),
            seconds_left=float(fields.get('seconds_left', 0)),
        )


class CallStarting(Record):
    """A call is about to be dispatched to the target.

    ``suspicion`` is the number of targets that crashed while running the
    call, according to its context. ``has_spare`` is whether another target of
    the service stands, should the call crash this one.
    """

    __slots__ = (
        'call_id',
        'fingerprint',
        'suspicion',
        'is_repeatable',
        'has_spare',
    )

    def __init__(
        self,
        *,
        call_id: str,
        fingerprint: str,
        is_repeatable: bool,
        suspicion: int = 0,
        has_spare: bool = True,
    ) -> None:
        self.call_id = call_id
        self.fingerprint = fingerprint
        self.suspicion = suspicion
        self.is_repeatable = is_repeatable
        self.has_spare = has_spare


class CallEnded(Record):
    """A call ended while its target stayed up.

    ``is_complete`` is true when the target ran the call and answered, with any
    status. A call that was cut off or refused does not clear its fingerprint.
    """

    __slots__ = ('call_id', 'is_complete')

    def __init__(self, *, call_id: str, is_complete: bool) -> None:
        self.call_id = call_id
        self.is_complete = is_complete


class TargetCrashed(Record):
    """The target crashed; its calls in flight ended.

    ``call_ids`` are those that had been sent to it, ``None`` for all that
    started and have not ended.
    """

    __slots__ = ('call_ids',)

    def __init__(self, call_ids: frozenset[str] | None = None) -> None:
        self.call_ids = call_ids


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
    """Answer *not run*, reason quarantine: the suspect must not run now.

    A suspect is running already, another one or the same one on another
    target, or no other target stands.
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
