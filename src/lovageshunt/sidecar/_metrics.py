"""The metrics of a sidecar and the handler that serves them as text."""

from collections.abc import Mapping

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.http1 import Request, ServerConnection
from lovageshunt.observability import Metrics

_NO_REASON = ''


class SidecarMetrics:
    """The metrics of one sidecar, each labelled with its node's name."""

    __slots__ = ('_registry', '_request_seconds', '_run_seconds', '_abandoned')

    def __init__(self, node: str) -> None:
        self._registry = Metrics(node)
        self._request_seconds = self._registry.buckets(
            'lovageshunt_request_seconds',
        )
        self._run_seconds = self._registry.buckets('lovageshunt_run_seconds')
        self._abandoned = self._registry.series('lovageshunt_abandoned_total')

    def count_response(
        self,
        status: int,
        seconds: float,
        reason: str = _NO_REASON,
    ) -> None:
        """Count a response; a target's own response has no reason."""
        name = 'lovageshunt_requests_total'
        self._registry.series(name, str(status), reason).value += 1
        self._request_seconds.observe(seconds)

    def count_abandoned(self) -> None:
        """Count a request whose client disconnected before the response."""
        self._abandoned.value += 1

    def count_retry(self, reason: RefusalReason | None) -> None:
        """Count a request that is sent to another target."""
        name = 'lovageshunt_retries_total'
        self._registry.series(name, reason or _NO_REASON).value += 1

    def count_run(
        self,
        outcome: Outcome,
        reason: RefusalReason | None,
        seconds: float,
    ) -> None:
        """Count an order that ended ``seconds`` after its arrival."""
        name = 'lovageshunt_runs_total'
        self._registry.series(name, outcome, reason or _NO_REASON).value += 1
        self._run_seconds.observe(seconds)

    def count_target_crash(self) -> None:
        """Count a crash of the target with calls in flight."""
        self._registry.series('lovageshunt_target_crashes_total').value += 1

    def set_target(
        self,
        *,
        load: LoadReport,
        share: float,
        accepted: float,
        rate_limit: float | None,
        suspects: int,
    ) -> None:
        """Set the gauges of the target; no limit is set to -1."""
        limit = -1 if rate_limit is None else rate_limit
        calls = 'lovageshunt_target_calls'
        self._registry.series(calls, 'running').value = load.running
        self._registry.series(calls, 'waiting').value = load.waiting
        self._set(
            {
                'lovageshunt_demand_share': share,
                'lovageshunt_target_accepted_share': accepted,
                'lovageshunt_target_rate_limit': limit,
                'lovageshunt_accused_requests': suspects,
            }
        )

    def set_news(
        self,
        *,
        version: int,
        is_platform_unreachable: bool,
        is_reader: bool,
        age_seconds: float,
    ) -> None:
        """Set the gauges of what this node knows of the platform."""
        self._set(
            {
                'lovageshunt_configuration_version': version,
                'lovageshunt_platform_away': float(is_platform_unreachable),
                'lovageshunt_platform_reader': float(is_reader),
                'lovageshunt_platform_news_age_seconds': age_seconds,
            }
        )

    def set_links(
        self, *, opened: int, accepted: int, again_by_state: Mapping[str, int]
    ) -> None:
        """Set the number of links to other nodes, by who opened them.

        ``again_by_state`` counts the orders that arrived on them again.
        """
        for state, number in again_by_state.items():
            name = 'lovageshunt_orders_again_total'
            self._registry.series(name, state).value = number
        self._registry.series('lovageshunt_links', 'opened').value = opened
        self._registry.series('lovageshunt_links', 'accepted').value = accepted

    def set_received(
        self, *, held_bytes: int, refused_by_cause: Mapping[str, int]
    ) -> None:
        """Set what connections hold, and how many were closed by cause."""
        self._set({'lovageshunt_held_bytes': held_bytes})
        for cause, number in refused_by_cause.items():
            name = 'lovageshunt_clients_closed_total'
            self._registry.series(name, cause).value = number

    def set_accounts(self, *, over_limit: int) -> None:
        """Set the number of client accounts that are over their limits."""
        self._set({'lovageshunt_accounts_over_limit': over_limit})

    def set_suppressed(self, count: int) -> None:
        """Set the number of log records that the rate limit suppressed."""
        self._registry.series('lovageshunt_logs_suppressed_total').value = count

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its header fields."""
        return self._registry.render()

    def _set(self, number_by_name: dict[str, float]) -> None:
        for name, number in number_by_name.items():
            self._registry.series(name).value = number


class MetricsHandler:
    """Responds to every request with the metrics."""

    __slots__ = ('_metrics',)

    def __init__(self, metrics: SidecarMetrics) -> None:
        self._metrics = metrics

    def handle(self, request: Request, connection: ServerConnection) -> None:
        """Respond at once."""
        body, headers = self._metrics.render()
        fields = ''.join(
            f'{name}: {text}\r\n' for name, text in headers.items()
        )
        connection.respond(
            request,
            status=200,
            fields=fields.lower().encode(),
            body=body,
        )

    def abandon(self, token: None) -> None:
        """Do nothing: every request is complete when ``handle`` returns."""
