"""Stops a call that crashes targets from crashing more of them.

The node outlives its target, so it knows which calls were in flight when the
target crashed. These calls are suspects: a target runs one suspect at a time,
and a suspect runs on one target at a time, until it either finishes without a
crash or crashes a second target.
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

#: A call whose context counts this many crashed targets is condemned.
_MAX_CRASHES: Final = 2
_MS_PER_SECOND: Final = 1000


class QuarantineSettings(Record):
    """How long suspects are kept, and how many.

    Entries expire after ``suspect_seconds`` or ``condemned_seconds``; beyond
    ``max_suspects`` the oldest is dropped. ``busy_retry_ms`` is the retry time
    of a suspect that is refused while another one runs. ``trial_seconds`` is
    how long a peer's report of a trial keeps the suspect from running here.
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
        self.suspect_seconds = suspect_seconds
        self.condemned_seconds = condemned_seconds
        self.trial_seconds = trial_seconds
        self.busy_retry_ms = busy_retry_ms
        self.max_suspects = max_suspects


class _Entry(Record):
    """One suspected or condemned fingerprint, and when the entry expires.

    Until ``trial_until`` a peer runs the suspect.
    """

    __slots__ = ('is_condemned', 'expires_at', 'trial_until')

    def __init__(self, *, is_condemned: bool, expires_at: float) -> None:
        self.is_condemned = is_condemned
        self.expires_at = expires_at
        self.trial_until = float(0)


class Quarantine:
    """The suspects known to one node and the calls in flight to its target."""

    __slots__ = (
        '_settings',
        '_entry_by_fingerprint',
        '_in_flight_by_id',
        '_trial_call_id',
    )

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._entry_by_fingerprint: dict[str, _Entry] = {}
        self._in_flight_by_id: dict[str, CallStarting] = {}
        self._trial_call_id: str | None = None

    @property
    def entry_count(self) -> int:
        """Return the number of suspected and condemned fingerprints."""
        return len(self._entry_by_fingerprint)

    @singledispatchmethod
    def handle(
        self,
        event: QuarantineEvent,
        now: float,
    ) -> list[QuarantineAction]:
        """Return the actions that an event requires, in order.

        Raises ``UnknownEventError`` for an event of an unknown type.
        """
        raise UnknownEventError(event)

    @handle.register
    def _on_starting(
        self,
        event: CallStarting,
        now: float,
    ) -> list[QuarantineAction]:
        entry = self._entry_of(event, now)
        if entry is None:
            self._in_flight_by_id[event.call_id] = event
            return [Proceed(call_id=event.call_id)]
        if entry.is_condemned:
            remaining_ms = round((entry.expires_at - now) * _MS_PER_SECOND)
            return [
                FailCondemned(
                    call_id=event.call_id, retry_after_ms=remaining_ms
                )
            ]
        if self._trial_call_id is not None or now < entry.trial_until:
            busy_ms = self._settings.busy_retry_ms
            return [
                RefuseTemporarily(call_id=event.call_id, retry_after_ms=busy_ms)
            ]
        self._trial_call_id = event.call_id
        self._in_flight_by_id[event.call_id] = event
        return [
            _notification(event.fingerprint, Suspicion.ON_TRIAL),
            Proceed(call_id=event.call_id),
        ]

    @handle.register
    def _on_ended(
        self,
        event: CallEnded,
        now: float,
    ) -> list[QuarantineAction]:
        call = self._in_flight_by_id.pop(event.call_id, None)
        if call is None or self._trial_call_id != event.call_id:
            return []
        self._trial_call_id = None
        if not event.is_complete:
            return [_notification(call.fingerprint, Suspicion.SUSPECTED)]
        self._entry_by_fingerprint.pop(call.fingerprint, None)
        return [_notification(call.fingerprint, Suspicion.CLEARED)]

    @handle.register
    def _on_crashed(
        self,
        event: TargetCrashed,
        now: float,
    ) -> list[QuarantineAction]:
        reports = tuple(
            SuspectReport(
                fingerprint=call.fingerprint,
                suspicion=self._suspicion_after_crash(call),
            )
            for call in self._in_flight_by_id.values()
        )
        self._in_flight_by_id = {}
        self._trial_call_id = None
        if not reports:
            return []
        for report in reports:
            self._apply_report(report, now)
        return [NotifyPeers(reports=reports)]

    @handle.register
    def _on_reported(
        self,
        event: PeerReported,
        now: float,
    ) -> list[QuarantineAction]:
        for report in event.reports:
            self._apply_report(report, now)
        return []

    def _suspicion_after_crash(self, call: CallStarting) -> Suspicion:
        """Return ``CONDEMNED`` for a call on trial or not repeatable."""
        if call.call_id == self._trial_call_id or not call.is_repeatable:
            return Suspicion.CONDEMNED
        return Suspicion.SUSPECTED

    def _entry_of(self, call: CallStarting, now: float) -> _Entry | None:
        """Return the entry of a call, updated by the call's own context."""
        entry = self._entry_by_fingerprint.get(call.fingerprint)
        if entry is not None and entry.expires_at <= now:
            self._entry_by_fingerprint.pop(call.fingerprint)
            entry = None
        if call.suspicion == 0:
            return entry
        if call.suspicion >= _MAX_CRASHES or not call.is_repeatable:
            return self._add_entry(call.fingerprint, now, is_condemned=True)
        if entry is None:
            return self._add_entry(call.fingerprint, now, is_condemned=False)
        return entry

    def _apply_report(self, report: SuspectReport, now: float) -> None:
        entry = self._entry_by_fingerprint.get(report.fingerprint)
        is_condemned = report.suspicion is Suspicion.CONDEMNED
        if entry is not None and entry.is_condemned:
            return
        if report.suspicion is Suspicion.CLEARED:
            self._entry_by_fingerprint.pop(report.fingerprint, None)
            return
        entry = self._add_entry(
            report.fingerprint, now, is_condemned=is_condemned
        )
        if report.suspicion is Suspicion.ON_TRIAL:
            entry.trial_until = now + self._settings.trial_seconds

    def _add_entry(
        self,
        fingerprint: str,
        now: float,
        *,
        is_condemned: bool,
    ) -> _Entry:
        settings = self._settings
        lifetime_seconds = settings.suspect_seconds
        if is_condemned:
            lifetime_seconds = settings.condemned_seconds
        entries = self._entry_by_fingerprint
        entries.pop(fingerprint, None)
        if len(entries) >= settings.max_suspects:
            entries.pop(next(iter(entries)))
        entry = _Entry(
            is_condemned=is_condemned, expires_at=now + lifetime_seconds
        )
        entries[fingerprint] = entry
        return entry


def _notification(fingerprint: str, suspicion: Suspicion) -> NotifyPeers:
    report = SuspectReport(fingerprint=fingerprint, suspicion=suspicion)
    return NotifyPeers(reports=(report,))
