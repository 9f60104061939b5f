"""Refuses requests that an overloaded service below would refuse."""

from typing import Final

from lovageshunt.calls import RefusalReason
from lovageshunt.pressure import RootRequest
from lovageshunt.sidecar._fingerprint import fingerprint_of_request
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
        account = call.account.name if call.account else ''
        request = RootRequest(
            kind=call.kind,
            importance=call.importance,
            account=account,
            content=f'{account} {fingerprint_of_request(call.request)}',
            aim_seconds=call.route.aim_seconds if call.route else 0,
        )
        decision = self._reports.root_admission.decision(
            request, call.started_at
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
                'is_return': decision.is_return,
            },
        )
