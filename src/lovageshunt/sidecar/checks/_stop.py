"""Refuses requests that could outlast a planned shutdown."""

from typing import Final

from lovageshunt.calls import RefusalReason
from lovageshunt.sidecar._origin_call import TIMEOUT_DELAY_SECONDS, OriginCall
from lovageshunt.sidecar.checks._refusal import Refusal

#: ``retry-after`` of a node that shuts down, in ms. By then its clients use
#: another node.
_RETRY_MS: Final = 300


class StopCheck:
    """Knows until when a node serves.

    ``stops_at`` is the end of a planned shutdown, on the process's clock;
    infinite while none has begun.
    """

    __slots__ = ('_accepts_all_until', 'stops_at')

    def __init__(self) -> None:
        self._accepts_all_until = float('inf')
        self.stops_at = float('inf')

    def begin(self, *, accepts_all_until: float, stops_at: float) -> None:
        """Begin a planned shutdown that ends at ``stops_at``.

        From ``accepts_all_until`` on, requests that could still be in
        progress at ``stops_at`` are refused. Both are in seconds on the clock.
        """
        self._accepts_all_until = accepts_all_until
        self.stops_at = stops_at

    def end(self) -> None:
        """End a planned shutdown: refuse every request."""
        self.begin(
            accepts_all_until=float('-inf'),
            stops_at=float('-inf'),
        )

    def refusal_of(self, call: OriginCall) -> Refusal | None:
        """Refuse a request that may outlast the shutdown."""
        if call.started_at < self._accepts_all_until:
            return None
        if call.deadline + TIMEOUT_DELAY_SECONDS <= self.stops_at:
            return None
        return Refusal(reason=RefusalReason.LEAVING, retry_ms=_RETRY_MS)
