"""What a run showed."""

from collections import Counter

from bench._deployment import Deployment, Kind
from bench._request import Book, Request
from bench._workloads import Workload
from lovageshunt._record import Record

_RECOVERED_SHARE = 0.95
_BIN_SECONDS = 0.25
#: Bins that are averaged to judge recovery.
_SMOOTHED_BINS = 4
_PERCENT = 100


class Report(Record):
    """The figures of one run."""

    __slots__ = (
        'served_by_kind',
        'goodput_of_capacity',
        'mean_retries',
        'most_retries',
        'wasted_share',
        'recovery_seconds',
        'causes',
        'refusals',
    )

    def __init__(
        self,
        *,
        served_by_kind: dict[str, float],
        goodput_of_capacity: float,
        mean_retries: float,
        most_retries: int,
        wasted_share: float,
        recovery_seconds: float | None,
        causes: Counter[str],
        refusals: Counter[tuple[str, str]],
    ) -> None:
        """Take every field by name."""
        self.served_by_kind = served_by_kind
        self.goodput_of_capacity = goodput_of_capacity
        self.mean_retries = mean_retries
        self.most_retries = most_retries
        self.wasted_share = wasted_share
        self.recovery_seconds = recovery_seconds
        self.causes = causes
        self.refusals = refusals


def report_on(book: Book, deployment: Deployment, workload: Workload) -> Report:
    """Work out the figures of a run."""
    counted = [
        request
        for request in book.requests
        if workload.from_seconds <= request.born < workload.to_seconds
    ]
    executions = sum(request.executions for request in counted)
    wasted = sum(
        request.executions for request in counted if not request.is_good
    )
    return Report(
        served_by_kind={
            kind.name: _served_share(counted, kind) for kind in deployment.kinds
        },
        goodput_of_capacity=_goodput(counted, deployment, workload),
        mean_retries=sum(request.retries for request in counted) / len(counted),
        most_retries=max(request.retries for request in counted),
        wasted_share=wasted / max(1, executions),
        recovery_seconds=_recovery(book, workload),
        causes=Counter(
            str(request.cause) for request in counted if not request.is_good
        ),
        refusals=book.refusals,
    )


def _served_share(requests: list[Request], kind: Kind) -> float:
    of_kind = [request for request in requests if request.kind is kind]
    good = sum(request.is_good for request in of_kind)
    return good / max(1, len(of_kind))


def _goodput(
    requests: list[Request],
    deployment: Deployment,
    workload: Workload,
) -> float:
    """Return good requests over those that the deep service has room for."""
    seconds = workload.to_seconds - workload.from_seconds
    deep = [
        request
        for request in requests
        if deployment.needs_bottleneck(request.kind.step)
    ]
    rate = deployment.bottleneck_rate * workload.deep_share
    room = min(len(deep), rate * seconds)
    fitting = len(requests) - len(deep) + room
    return sum(request.is_good for request in requests) / fitting


def _recovery(book: Book, workload: Workload) -> float | None:
    """Return the seconds until requests are served as before the trigger."""
    if not workload.has_trigger:
        return None
    before = _share_good(book, 1, workload.starts_seconds)
    span = _BIN_SECONDS * _SMOOTHED_BINS
    start = workload.ends_seconds
    while start + span < workload.run_seconds - span:
        if _share_good(book, start, start + span) >= _RECOVERED_SHARE * before:
            return start - workload.ends_seconds
        start += _BIN_SECONDS
    return float('inf')


def _share_good(book: Book, since: float, until: float) -> float:
    born = [
        request for request in book.requests if since <= request.born < until
    ]
    return sum(request.is_good for request in born) / max(1, len(born))


def table_row(name: str, report: Report) -> str:
    """Return a run's line of the table."""
    served = '  '.join(
        f'{kind} {share * _PERCENT:5.1f}'
        for kind, share in report.served_by_kind.items()
    )
    recovery = report.recovery_seconds
    recovered = '-' if recovery is None else f'{recovery:.2f}'
    causes = ', '.join(
        f'{cause} {count}' for cause, count in report.causes.most_common(4)
    )
    return (
        f'  {name:10} {report.goodput_of_capacity * _PERCENT:6.1f}  '
        f'{served}  {report.mean_retries:6.2f} {report.most_retries:5d}  '
        f'{report.wasted_share * _PERCENT:5.1f}  {recovered:>6}  {causes}'
    )
