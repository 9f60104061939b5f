"""What a sidecar counts, and how it is served as text."""

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.http1 import Request, ServerConnection
from lovageshunt.observability import Metrics

_NO_REASON = ''


class Meters:
    """The numbers of one sidecar."""

    __slots__ = ('_metrics', '_request_seconds', '_run_seconds', '_abandoned')

    def __init__(self, node: str) -> None:
        """Begin at 0; the node's name is on every number."""
        self._metrics = Metrics(node)
        self._request_seconds = self._metrics.buckets(
            'lovageshunt_request_seconds',
        )
        self._run_seconds = self._metrics.buckets('lovageshunt_run_seconds')
        self._abandoned = self._metrics.cell('lovageshunt_abandoned_total')

    def answered(
        self,
        status: int,
        seconds: float,
        reason: str = _NO_REASON,
    ) -> None:
        """Count a request that was answered; a target's has no reason."""
        name = 'lovageshunt_requests_total'
        self._metrics.cell(name, str(status), reason).value += 1
        self._request_seconds.observe(seconds)

    def abandoned(self) -> None:
        """Count a request whose client left."""
        self._abandoned.value += 1

    def retried(self, reason: RefusalReason | None) -> None:
        """Count a request that is sent to another target."""
        name = 'lovageshunt_retries_total'
        self._metrics.cell(name, reason or _NO_REASON).value += 1

    def ran(
        self,
        outcome: Outcome,
        reason: RefusalReason | None,
        seconds: float,
    ) -> None:
        """Count an order that has ended."""
        name = 'lovageshunt_runs_total'
        self._metrics.cell(name, outcome, reason or _NO_REASON).value += 1
        self._run_seconds.observe(seconds)

    def note(
        self,
        *,
        load: LoadReport,
        share: float,
        accepted: float,
        version: int,
        is_platform_unreachable: bool,
    ) -> None:
        """Set what is so at this moment."""
        calls = 'lovageshunt_target_calls'
        self._metrics.cell(calls, 'running').value = load.running
        self._metrics.cell(calls, 'waiting').value = load.waiting
        for name, number in (
            ('lovageshunt_demand_share', share),
            ('lovageshunt_target_accepted_share', accepted),
            ('lovageshunt_configuration_version', version),
            ('lovageshunt_platform_away', float(is_platform_unreachable)),
        ):
            self._metrics.cell(name).value = number

    def set_suppressed(self, count: int) -> None:
        """Set how many log records were held back."""
        self._metrics.cell('lovageshunt_logs_suppressed_total').value = count

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text and its header fields."""
        return self._metrics.render()


class MetricsPage:
    """Answers every request with the numbers."""

    __slots__ = ('_meters',)

    def __init__(self, meters: Meters) -> None:
        """Serve these numbers."""
        self._meters = meters

    def started(self, request: Request, connection: ServerConnection) -> None:
        """Answer at once."""
        body, headers = self._meters.render()
        fields = ''.join(
            f'{name}: {text}\r\n' for name, text in headers.items()
        )
        connection.respond(
            status=200,
            fields=fields.lower().encode(),
            body=body,
        )

    def abandoned(self, token: None) -> None:
        """Nothing is in progress."""
