"""Figures computed from the record of a run."""

from collections import Counter

from bench._deployment import Deployment, Kind
from bench._request import Request, RunRecord
from bench._workloads import Workload
from lovageshunt._record import Record

_RECOVERED_RATIO = 0.95
_BIN_SECONDS = 0.25
#: Recovery is judged on the average over this many bins.
_SMOOTHED_BINS = 4
_PERCENT = 100


class Report(Record):
    """The figures of one run.

    Shares and ``goodput_of_capacity`` are fractions. ``recovery_seconds`` is
    None without a trigger that ends, and infinite when the run ended before
    recovery. ``failure_reasons`` counts unsuccessful requests by reason,
    ``refusals`` counts refused calls by service and reason.
    """

    __slots__ = (
        'served_by_kind',
        'goodput_of_capacity',
        'mean_retries',
        'max_retries',
        'wasted_share',
        'recovery_seconds',
        'failure_reasons',
        'refusals',
    )

    def __init__(
        self,
        *,
        served_by_kind: dict[str, float],
        goodput_of_capacity: float,
        mean_retries: float,
        max_retries: int,
        wasted_share: float,
        recovery_seconds: float | None,
        failure_reasons: Counter[str],
        refusals: Counter[tuple[str, str]],
    ) -> None:
        self.served_by_kind = served_by_kind
        self.goodput_of_capacity = goodput_of_capacity
        self.mean_retries = mean_retries
        self.max_retries = max_retries
        self.wasted_share = wasted_share
        self.recovery_seconds = recovery_seconds
        self.failure_reasons = failure_reasons
        self.refusals = refusals


def report_on(
    run_record: RunRecord, deployment: Deployment, workload: Workload
) -> Report:
    """Compute the figures over the measured interval of the workload."""
    counted = [
        request
        for request in run_record.requests
        if workload.measure_from_seconds
        <= request.created_at
        < workload.measure_until_seconds
    ]
    executions = sum(request.executions for request in counted)
    wasted = sum(
        request.executions for request in counted if not request.is_successful
    )
    return Report(
        served_by_kind={
            kind.name: _served_share(counted, kind) for kind in deployment.kinds
        },
        goodput_of_capacity=_goodput(counted, deployment, workload),
        mean_retries=sum(request.retries for request in counted) / len(counted),
        max_retries=max(request.retries for request in counted),
        wasted_share=wasted / max(1, executions),
        recovery_seconds=_recovery(run_record, workload),
        failure_reasons=Counter(
            str(request.failure_reason)
            for request in counted
            if not request.is_successful
        ),
        refusals=run_record.refusals,
    )


def _served_share(requests: list[Request], kind: Kind) -> float:
    of_kind = [request for request in requests if request.kind is kind]
    successful = sum(request.is_successful for request in of_kind)
    return successful / max(1, len(of_kind))


def _goodput(
    requests: list[Request],
    deployment: Deployment,
    workload: Workload,
) -> float:
    """Return successful requests over those that fit the capacity."""
    seconds = workload.measure_until_seconds - workload.measure_from_seconds
    bottleneck_requests = [
        request
        for request in requests
        if deployment.reaches_bottleneck(request.kind.step)
    ]
    rate = deployment.bottleneck_rate * workload.bottleneck_speed_share
    servable = min(len(bottleneck_requests), rate * seconds)
    capacity = len(requests) - len(bottleneck_requests) + servable
    return sum(request.is_successful for request in requests) / capacity


def _recovery(run_record: RunRecord, workload: Workload) -> float | None:
    """Return the seconds from the end of the trigger until recovery.

    Recovery is when the success share over a window reaches
    ``_RECOVERED_RATIO`` of its value before the trigger.
    """
    if not workload.measures_recovery:
        return None
    share_before = _success_share(run_record, 1, workload.trigger_start_seconds)
    window_seconds = _BIN_SECONDS * _SMOOTHED_BINS
    start = workload.trigger_end_seconds
    while start + window_seconds < workload.run_seconds - window_seconds:
        if (
            _success_share(run_record, start, start + window_seconds)
            >= _RECOVERED_RATIO * share_before
        ):
            return start - workload.trigger_end_seconds
        start += _BIN_SECONDS
    return float('inf')


def _success_share(run_record: RunRecord, since: float, until: float) -> float:
    created = [
        request
        for request in run_record.requests
        if since <= request.created_at < until
    ]
    return sum(request.is_successful for request in created) / max(
        1, len(created)
    )


def table_row(name: str, report: Report) -> str:
    """Format the table row of a run."""
    served = '  '.join(
        f'{kind} {share * _PERCENT:5.1f}'
        for kind, share in report.served_by_kind.items()
    )
    recovery = report.recovery_seconds
    recovered = '-' if recovery is None else f'{recovery:.2f}'
    reasons = ', '.join(
        f'{reason} {count}'
        for reason, count in report.failure_reasons.most_common(4)
    )
    return (
        f'  {name:10} {report.goodput_of_capacity * _PERCENT:6.1f}  '
        f'{served}  {report.mean_retries:6.2f} {report.max_retries:5d}  '
        f'{report.wasted_share * _PERCENT:5.1f}  {recovered:>6}  {reasons}'
    )
