"""Stops a call that crashes targets from crashing more of them.

The node outlives its target, so it knows which calls were in flight when the
target crashed. All of them are accused, but only the guilty one goes on to be
in flight at crashes without ever finishing. Once crashes accuse a call often
enough, it is a suspect: a target runs one suspect at a time, and a suspect
runs on one target at a time, until it either finishes without a crash or
crashes one more target, which condemns it.
"""

from typing import Final

from lovageshunt._dispatch import DispatchedMethod
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
from lovageshunt.retries._quarantine_settings import QuarantineSettings

_MS_PER_SECOND: Final = 1000
#: The entries that a node is told which has restarted.
_MAX_TOLD: Final = 256


class _Entry(Record):
    """What is known of one fingerprint, and when that expires.

    Until ``trial_until`` a peer runs the suspect.
    """

    __slots__ = ('crashes', 'is_condemned', 'expires_at', 'trial_until')

    def __init__(
        self, *, crashes: int, is_condemned: bool, expires_at: float
    ) -> None:
        self.crashes = crashes
        self.is_condemned = is_condemned
        self.expires_at = expires_at
        self.trial_until = float(0)


class _RunningCall(Record):
    """A call in flight, and the crashes that accused it when it started."""

    __slots__ = ('call', 'crashes')

    def __init__(self, call: CallStarting, crashes: int) -> None:
        self.call = call
        self.crashes = crashes


class Quarantine:
    """The suspects known to one node and the calls in flight to its target."""

    __slots__ = (
        '_settings',
        '_entry_by_fingerprint',
        '_running_by_id',
        '_trial_call_id',
    )

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._entry_by_fingerprint: dict[str, _Entry] = {}
        self._running_by_id: dict[str, _RunningCall] = {}
        self._trial_call_id: str | None = None

    @property
    def entry_count(self) -> int:
        """Return the number of accused and condemned fingerprints."""
        return len(self._entry_by_fingerprint)

    def is_condemned(self, fingerprint: str, now: float) -> bool:
        """Return whether a call may not run at all."""
        entry = self._valid_entry(fingerprint, now)
        return entry is not None and entry.is_condemned

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether a call runs on trial only, or not at all."""
        entry = self._valid_entry(fingerprint, now)
        return entry is not None and self._needs_trial(entry)

    def refusal_ms(self, fingerprint: str, now: float) -> int | None:
        """Return when to send a call again that no target may run now.

        It is condemned, or a peer has it on trial. ``None`` if it may run
        somewhere.
        """
        entry = self._valid_entry(fingerprint, now)
        if entry is None:
            return None
        if entry.is_condemned:
            return round((entry.expires_at - now) * _MS_PER_SECOND)
        if now < entry.trial_until:
            return self._settings.busy_retry_ms
        return None

    def suspects(self, now: float) -> tuple[SuspectReport, ...]:
        """Return reports of the latest suspects, for a node that restarted."""
        return tuple(
            self._report_of(fingerprint, entry, now)
            for fingerprint, entry in self._entry_by_fingerprint.items()
            if self._needs_trial(entry) and entry.expires_at > now
        )[-_MAX_TOLD:]

    @DispatchedMethod
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
        if entry is None or not self._needs_trial(entry):
            crashes = _crashes_of(entry)
            self._running_by_id[event.call_id] = _RunningCall(event, crashes)
            return [Proceed(call_id=event.call_id)]
        if entry.is_condemned:
            remaining_ms = round((entry.expires_at - now) * _MS_PER_SECOND)
            return [
                FailCondemned(
                    call_id=event.call_id, retry_after_ms=remaining_ms
                )
            ]
        retry_ms = self._trial_delay_ms(event, entry, now)
        if retry_ms is not None:
            return [
                RefuseTemporarily(
                    call_id=event.call_id, retry_after_ms=retry_ms
                )
            ]
        self._trial_call_id = event.call_id
        self._running_by_id[event.call_id] = _RunningCall(event, entry.crashes)
        return [
            _notification(event.fingerprint, Suspicion.ON_TRIAL, entry.crashes),
            Proceed(call_id=event.call_id),
        ]

    @handle.register
    def _on_ended(
        self,
        event: CallEnded,
        now: float,
    ) -> list[QuarantineAction]:
        running = self._running_by_id.pop(event.call_id, None)
        if running is None:
            return []
        is_trial = self._trial_call_id == event.call_id
        if is_trial:
            self._trial_call_id = None
        fingerprint = running.call.fingerprint
        entry = self._entry_by_fingerprint.get(fingerprint)
        if event.is_complete:
            if is_trial or entry is not None and not entry.is_condemned:
                self._entry_by_fingerprint.pop(fingerprint, None)
                return [_notification(fingerprint, Suspicion.CLEARED)]
            return []
        if not is_trial:
            return []
        crashes = max(running.crashes, _crashes_of(entry))
        return [_notification(fingerprint, Suspicion.SUSPECTED, crashes)]

    @handle.register
    def _on_crashed(
        self,
        event: TargetCrashed,
        now: float,
    ) -> list[QuarantineAction]:
        reports = tuple(
            self._report_after_crash(running)
            for call_id, running in self._running_by_id.items()
            if event.call_ids is None or call_id in event.call_ids
        )
        self._forget_running(event.call_ids)
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

    def _needs_trial(self, entry: _Entry) -> bool:
        is_suspect = entry.crashes >= self._settings.crashes_to_suspect
        return is_suspect or entry.is_condemned

    def _trial_delay_ms(
        self, call: CallStarting, entry: _Entry, now: float
    ) -> int | None:
        """Return when a suspect may be sent again, ``None`` to run it now."""
        if self._trial_call_id is not None or now < entry.trial_until:
            return self._settings.busy_retry_ms
        if not call.has_spare:
            return self._settings.spare_retry_ms
        return None

    def _forget_running(self, call_ids: frozenset[str] | None) -> None:
        """Forget the calls that ended with a crash, all if ``None``."""
        if call_ids is None:
            self._running_by_id = {}
            self._trial_call_id = None
            return
        for call_id in call_ids:
            self._running_by_id.pop(call_id, None)
        if self._trial_call_id in call_ids:
            self._trial_call_id = None

    def _report_after_crash(self, running: _RunningCall) -> SuspectReport:
        entry = self._entry_by_fingerprint.get(running.call.fingerprint)
        return SuspectReport(
            fingerprint=running.call.fingerprint,
            suspicion=self._suspicion_after_crash(running),
            crashes=max(_crashes_of(entry), running.crashes + 1),
        )

    def _suspicion_after_crash(self, running: _RunningCall) -> Suspicion:
        """Return ``CONDEMNED`` after enough crashes, or if not repeatable."""
        has_crashed_enough = (
            running.crashes + 1 >= self._settings.crashes_to_condemn
        )
        if has_crashed_enough or not running.call.is_repeatable:
            return Suspicion.CONDEMNED
        return Suspicion.SUSPECTED

    def _valid_entry(self, fingerprint: str, now: float) -> _Entry | None:
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is not None and entry.expires_at <= now:
            self._entry_by_fingerprint.pop(fingerprint)
            return None
        return entry

    def _entry_of(self, call: CallStarting, now: float) -> _Entry | None:
        """Return the entry of a call, updated by the call's own context."""
        entry = self._valid_entry(call.fingerprint, now)
        if call.suspicion == 0:
            return entry
        has_crashed_enough = call.suspicion >= self._settings.crashes_to_condemn
        if has_crashed_enough or not call.is_repeatable:
            return self._add_entry(
                call.fingerprint, now, call.suspicion, is_condemned=True
            )
        if entry is None:
            return self._add_entry(
                call.fingerprint, now, call.suspicion, is_condemned=False
            )
        return entry

    def _report_of(
        self, fingerprint: str, entry: _Entry, now: float
    ) -> SuspectReport:
        suspicion = Suspicion.SUSPECTED
        if entry.is_condemned:
            suspicion = Suspicion.CONDEMNED
        return SuspectReport(
            fingerprint=fingerprint,
            suspicion=suspicion,
            crashes=entry.crashes,
            seconds_left=entry.expires_at - now,
        )

    def _apply_report(self, report: SuspectReport, now: float) -> None:
        entry = self._entry_by_fingerprint.get(report.fingerprint)
        if entry is not None and entry.is_condemned:
            return
        if report.suspicion is Suspicion.CLEARED:
            self._entry_by_fingerprint.pop(report.fingerprint, None)
            return
        entry = self._add_entry(
            report.fingerprint,
            now,
            max(_crashes_of(entry), report.crashes),
            is_condemned=report.suspicion is Suspicion.CONDEMNED,
        )
        if report.seconds_left > 0:
            latest = now + report.seconds_left
            entry.expires_at = min(entry.expires_at, latest)
        if report.suspicion is Suspicion.ON_TRIAL:
            entry.trial_until = now + self._settings.trial_seconds

    def _add_entry(
        self,
        fingerprint: str,
        now: float,
        crashes: int,
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
            crashes=crashes,
            is_condemned=is_condemned,
            expires_at=now + lifetime_seconds,
        )
        entries[fingerprint] = entry
        return entry


def _crashes_of(entry: _Entry | None) -> int:
    return 0 if entry is None else entry.crashes


def _notification(
    fingerprint: str, suspicion: Suspicion, crashes: int = 1
) -> NotifyPeers:
    report = SuspectReport(
        fingerprint=fingerprint, suspicion=suspicion, crashes=crashes
    )
    return NotifyPeers(reports=(report,))
