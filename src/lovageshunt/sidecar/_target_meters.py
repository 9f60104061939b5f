"""What the runs at the target beside a node cost, and how they end."""

from typing import Final

from lovageshunt.admission import TargetPace
from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import Response
from lovageshunt.pressure import (
    CallSampler,
    DemandSettings,
    RefusalMeter,
    TargetDemandMeter,
)
from lovageshunt.sidecar._classification import ClassifiedResponse
from lovageshunt.sidecar._run import Run

#: Responses with this status or above count as failed runs.
_FIRST_ERROR: Final = 500


class TargetMeters:
    """The meters of one target.

    ``demand`` measures what is asked of it, ``watch`` what runs in it, and
    ``refusals`` the calls that it refuses although a slot was free.
    """

    __slots__ = ('demand', 'watch', 'refusals', '_pace')

    def __init__(self) -> None:
        now = clock_now()
        self.demand = TargetDemandMeter(DemandSettings(), now)
        self.watch = CallSampler(now)
        self.refusals = RefusalMeter(now)
        self._pace = TargetPace()

    def told(self, load: LoadReport) -> LoadReport:
        """Return the load to tell callers, with slots of usual pace."""
        return self._pace.scaled(load, clock_now())

    def record(
        self,
        run: Run,
        classified: ClassifiedResponse,
        response: Response | None,
    ) -> None:
        """Record what a run cost and whether it was good."""
        now = clock_now()
        reported = classified.reported
        if reported is not None and reported.pace is not None:
            self._pace.record(reported.pace, now)
        kind = run.order.kind
        is_good = response is not None and response.status < _FIRST_ERROR
        is_good = is_good and classified.outcome is Outcome.ANSWERED
        self.watch.ended(kind, run.sent_at, now, is_good=is_good)
        self.refusals.ended(was_refused=classified.reason is RefusalReason.SHED)
        if is_good:
            self.demand.ran(kind, now - run.sent_at)
        elif classified.outcome is not Outcome.NOT_RUN:
            self.demand.failed(kind, now - run.sent_at)
