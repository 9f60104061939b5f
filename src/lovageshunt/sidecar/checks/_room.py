"""Refuses requests that an overloaded service below would refuse."""

from typing import Final

from lovageshunt.calls import RefusalReason
from lovageshunt.sidecar._origin_call import OriginCall
from lovageshunt.sidecar._pressure_reports import PressureReports
from lovageshunt.sidecar.checks._refusal import Refusal

_MS_PER_SECOND: Final = 1000


class RoomCheck:
    """Counts requests and admits those that the services have room for.

    Calls that the target beside this node makes are always admitted: they
    belong to work in progress.
    """

    __slots__ = ('_reports',)

    def __init__(self, reports: PressureReports) -> None:
        self._reports = reports

    def refusal_of(self, call: OriginCall) -> Refusal | None:
        """Count a request; refuse it if there is no room for it below."""
        is_internal = self._reports.record_arrival(call.kind, call.started_at)
        call.is_internal = is_internal and call.account is None
        if call.is_internal:
            return None
        decision = self._reports.root_admission.decision(
            call.kind,
            call.importance,
            call.started_at,
            call.account.name if call.account else '',
        )
        if decision.retry_seconds is None:
            return None
        return Refusal(
            reason=RefusalReason.OVERLOAD,
            retry_ms=round(decision.retry_seconds * _MS_PER_SECOND),
            inputs={
                'full': decision.service,
                'short_of': decision.shortage,
                'share': round(decision.share, 3),
            },
        )
