"""Keeps a call that crashes targets from crashing more of them.

The node outlives its target, so it remembers what was in flight when the
target went down. These calls are suspects: each runs alone among suspects,
on one target at a time, until it finishes well or takes down a second one.
"""

from functools import singledispatchmethod
from typing import Final

from lovageshunt._record import Record
from lovageshunt.errors import UnknownEventError
from lovageshunt.retries._quarantine_messages import (
    CallEnded,
    CallStarting,
    FailCondemned,
    NotifyPeers,
    PeerReported,
    Proceed,
    QuarantineAction,
    QuarantineEvent,
    RefuseTemporarily,
    SuspectReport,
    Suspicion,
    TargetCrashed,
)

#: A context that names so many crashed targets condemns the call.
_MAX_CRASHES: Final = 2
_MS_PER_SECOND: Final = 1000


class QuarantineSettings(Record):
    """How long suspicion lasts, and how much of it is kept.

    ``busy_retry_ms`` is when a suspect may come back while another runs.
    ``trial_seconds`` is how long the news of a trial elsewhere binds.
    """

    __slots__ = (
        'suspect_seconds',
        'condemned_seconds',
        'trial_seconds',
        'busy_retry_ms',
        'max_suspects',
    )

    def __init__(
        self,
        *,
        suspect_seconds: float = 300,
        condemned_seconds: float = 600,
        trial_seconds: float = 10,
        busy_retry_ms: int = 100,
        max_suspects: int = 4096,
    ) -> None:
        """Take every bound by name."""
        self.suspect_seconds = suspect_seconds
        self.condemned_seconds = condemned_seconds
        self.trial_seconds = trial_seconds
        self.busy_retry_ms = busy_retry_ms
        self.max_suspects = max_suspects


class _Case(Record):
    """What is held against one fingerprint, and until when."""

    __slots__ = ('is_condemned', 'expires_at', 'trial_until')

    def __init__(self, *, is_condemned: bool, expires_at: float) -> None:
        """Begin with no trial elsewhere."""
        self.is_condemned = is_condemned
        self.expires_at = expires_at
        self.trial_until = float(0)


class Quarantine:
    """The cases known to one node and the calls in flight to its target."""

    __slots__ = ('_settings', '_case_by_fingerprint', '_flight_by_id', '_trial')

    def __init__(self, settings: QuarantineSettings) -> None:
        """Begin with no suspects."""
        self._settings = settings
        self._case_by_fingerprint: dict[str, _Case] = {}
        self._flight_by_id: dict[str, CallStarting] = {}
        self._trial: str | None = None

    @property
    def case_count(self) -> int:
        """Return how many fingerprints are held."""
        return len(self._case_by_fingerprint)

    @singledispatchmethod
    def handle(
        self,
        event: QuarantineEvent,
        now: float,
    ) -> list[QuarantineAction]:
        """Return what the node must do about an event, in order.

        Raises ``UnknownEventError`` when the event is none of this package.
        """
        raise UnknownEventError(event)

    @handle.register
    def _on_starting(
        self,
        event: CallStarting,
        now: float,
    ) -> list[QuarantineAction]:
        case = self._case_of(event, now)
        if case is None:
            self._flight_by_id[event.call_id] = event
            return [Proceed(call_id=event.call_id)]
        if case.is_condemned:
            left_ms = round((case.expires_at - now) * _MS_PER_SECOND)
            return [
                FailCondemned(call_id=event.call_id, retry_after_ms=left_ms)
            ]
        if self._trial is not None or now < case.trial_until:
            busy_ms = self._settings.busy_retry_ms
            return [
                RefuseTemporarily(call_id=event.call_id, retry_after_ms=busy_ms)
            ]
        self._trial = event.call_id
        self._flight_by_id[event.call_id] = event
        return [
            _tell(event.fingerprint, Suspicion.ON_TRIAL),
            Proceed(call_id=event.call_id),
        ]

    @handle.register
    def _on_ended(
        self,
        event: CallEnded,
        now: float,
    ) -> list[QuarantineAction]:
        call = self._flight_by_id.pop(event.call_id, None)
        if call is None or self._trial != event.call_id:
            return []
        self._trial = None
        if not event.is_complete:
            return [_tell(call.fingerprint, Suspicion.SUSPECTED)]
        self._case_by_fingerprint.pop(call.fingerprint, None)
        return [_tell(call.fingerprint, Suspicion.CLEARED)]

    @handle.register
    def _on_crashed(
        self,
        event: TargetCrashed,
        now: float,
    ) -> list[QuarantineAction]:
        reports = tuple(
            SuspectReport(
                fingerprint=call.fingerprint,
                suspicion=self._blame(call),
            )
            for call in self._flight_by_id.values()
        )
        self._flight_by_id = {}
        self._trial = None
        if not reports:
            return []
        for report in reports:
            self._learn(report, now)
        return [NotifyPeers(reports=reports)]

    @handle.register
    def _on_reported(
        self,
        event: PeerReported,
        now: float,
    ) -> list[QuarantineAction]:
        for report in event.reports:
            self._learn(report, now)
        return []

    def _blame(self, call: CallStarting) -> Suspicion:
        if call.call_id == self._trial or not call.is_repeatable:
            return Suspicion.CONDEMNED
        return Suspicion.SUSPECTED

    def _case_of(self, call: CallStarting, now: float) -> _Case | None:
        case = self._case_by_fingerprint.get(call.fingerprint)
        if case is not None and case.expires_at <= now:
            self._case_by_fingerprint.pop(call.fingerprint)
            case = None
        if call.suspicion == 0:
            return case
        if call.suspicion >= _MAX_CRASHES or not call.is_repeatable:
            return self._open(call.fingerprint, now, is_condemned=True)
        if case is None:
            return self._open(call.fingerprint, now, is_condemned=False)
        return case

    def _learn(self, report: SuspectReport, now: float) -> None:
        case = self._case_by_fingerprint.get(report.fingerprint)
        is_condemned = report.suspicion is Suspicion.CONDEMNED
        if case is not None and case.is_condemned:
            return
        if report.suspicion is Suspicion.CLEARED:
            self._case_by_fingerprint.pop(report.fingerprint, None)
            return
        case = self._open(report.fingerprint, now, is_condemned=is_condemned)
        if report.suspicion is Suspicion.ON_TRIAL:
            case.trial_until = now + self._settings.trial_seconds

    def _open(
        self,
        fingerprint: str,
        now: float,
        *,
        is_condemned: bool,
    ) -> _Case:
        settings = self._settings
        lasting = settings.suspect_seconds
        if is_condemned:
            lasting = settings.condemned_seconds
        cases = self._case_by_fingerprint
        cases.pop(fingerprint, None)
        if len(cases) >= settings.max_suspects:
            cases.pop(next(iter(cases)))
        case = _Case(is_condemned=is_condemned, expires_at=now + lasting)
        cases[fingerprint] = case
        return case


def _tell(fingerprint: str, suspicion: Suspicion) -> NotifyPeers:
    report = SuspectReport(fingerprint=fingerprint, suspicion=suspicion)
    return NotifyPeers(reports=(report,))
