"""Refuses requests that have crashed targets."""

from lovageshunt.calls import RefusalReason
from lovageshunt.sidecar._origin_call import OriginCall
from lovageshunt.sidecar._suspects import Suspects
from lovageshunt.sidecar.checks._refusal import Refusal


class SuspectCheck:
    """Keeps requests that may run nowhere from the targets."""

    __slots__ = ('_suspects',)

    def __init__(self, suspects: Suspects) -> None:
        self._suspects = suspects

    def refusal_of(self, call: OriginCall) -> Refusal | None:
        """Refuse a request that is condemned, or on trial elsewhere."""
        retry_ms = self._suspects.refusal_ms(call.request)
        if retry_ms is None:
            return None
        return Refusal(reason=RefusalReason.QUARANTINE, retry_ms=retry_ms)
