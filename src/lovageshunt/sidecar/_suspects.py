"""Keeps requests that crash targets from further targets, at all nodes.

Origins ask before they send a request, and the node beside a target asks again
before the target gets it. Every node is told what its peers learn.
"""

from collections.abc import Callable
from logging import getLogger
from typing import Final

import orjson

from lovageshunt._record import Record
from lovageshunt.clock import now as clock_now
from lovageshunt.errors import MalformedFrameError
from lovageshunt.http1 import Request
from lovageshunt.links import FrameKind
from lovageshunt.retries import (
    CallEnded,
    CallStarting,
    FailCondemned,
    NotifyPeers,
    PeerReported,
    Quarantine,
    QuarantineAction,
    QuarantineEvent,
    QuarantineSettings,
    RefuseTemporarily,
    SuspectReport,
    Suspicion,
    TargetCrashed,
)
from lovageshunt.sidecar._fingerprint import (
    fingerprint_of_order,
    fingerprint_of_request,
)
from lovageshunt.sidecar._run import Run

_log = getLogger(__name__)
#: A request of equal content is another request here, and a sound one may be
#: in flight when targets crash for other reasons. Two crashes in a row make a
#: suspect, and one more of a run on trial condemns it.
_SETTINGS: Final = QuarantineSettings(
    crashes_to_suspect=2,
    crashes_to_condemn=3,
)


class Suspects:
    """The requests that crashed targets, as this node knows them.

    ``broadcast`` sends a frame to every node. ``has_spare`` tells whether
    another target of the own service stands.
    """

    __slots__ = ('_quarantine', '_broadcast', '_has_spare')

    def __init__(
        self,
        *,
        broadcast: Callable[[FrameKind, bytes], None],
        has_spare: Callable[[], bool],
    ) -> None:
        self._quarantine = Quarantine(_SETTINGS)
        self._broadcast = broadcast
        self._has_spare = has_spare

    @property
    def count(self) -> int:
        """The number of requests, by content, that crashes accuse."""
        return self._quarantine.entry_count

    def refusal_ms(self, request: Request) -> int | None:
        """Return when to send a request again that may run nowhere now."""
        if not self.count:
            return None
        fingerprint = fingerprint_of_request(request)
        return self._quarantine.refusal_ms(fingerprint, clock_now())

    def is_suspect(self, request: Request) -> bool:
        """Return whether a request risks the targets that it is sent to."""
        if not self.count:
            return False
        fingerprint = fingerprint_of_request(request)
        return self._quarantine.is_suspect(fingerprint, clock_now())

    def start(self, run: Run) -> int | None:
        """Note that a run starts; return when to send it again if it may not.

        The time is in ms.
        """
        starting = CallStarting(
            call_id=run.call_id,
            fingerprint=fingerprint_of_order(run.order),
            is_repeatable=True,
            has_spare=not self.count or self._has_spare(),
        )
        for action in self._handle(starting):
            if isinstance(action, RefuseTemporarily | FailCondemned):
                return action.retry_after_ms
        return None

    def end(self, run: Run, *, is_complete: bool) -> None:
        """Note that a run ended, with a complete answer or without."""
        self._handle(CallEnded(call_id=run.call_id, is_complete=is_complete))

    def crash(self, lost: list[Run]) -> None:
        """Accuse the runs that a crash of the target ended."""
        self._handle(TargetCrashed(frozenset(run.call_id for run in lost)))

    def apply(self, reports: tuple[SuspectReport, ...]) -> None:
        """Apply what another node reports, which may be known."""
        now = clock_now()
        news = tuple(
            report
            for report in reports
            if not self._quarantine.is_condemned(report.fingerprint, now)
        )
        self._handle(PeerReported(reports=news))
        _log_condemned(news)

    def reports(self) -> tuple[SuspectReport, ...]:
        """Return what a node that has restarted must know."""
        return self._quarantine.suspects(clock_now())

    def _handle(self, event: QuarantineEvent) -> list[QuarantineAction]:
        actions = self._quarantine.handle(event, clock_now())
        for action in actions:
            if isinstance(action, NotifyPeers):
                _log_condemned(action.reports)
                self._broadcast(
                    FrameKind.SUSPECTS, encode_reports(action.reports)
                )
        return actions


def encode_reports(reports: tuple[SuspectReport, ...]) -> bytes:
    """Encode reports as JSON."""
    return orjson.dumps(reports, default=Record.as_dict)


def decode_reports(payload: bytes) -> tuple[SuspectReport, ...]:
    """Decode reports; raise ``MalformedFrameError`` if malformed."""
    try:
        return tuple(
            SuspectReport.from_fields(fields)
            for fields in orjson.loads(payload)
        )
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedFrameError(
            f'malformed reports of suspects: {error}',
        ) from error


def _log_condemned(reports: tuple[SuspectReport, ...]) -> None:
    for report in reports:
        if report.suspicion is Suspicion.CONDEMNED:
            _log.warning(
                'request is refused from now on: it crashes targets',
                extra={
                    'fingerprint': report.fingerprint,
                    'crashes': report.crashes,
                },
            )
