"""Handles requests from this VM: routes, sends, retries, responds."""

from asyncio import get_running_loop
from functools import partial
from random import Random
from typing import Final

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import Request, ServerConnection, forwarded_fields
from lovageshunt.links import RunAnswer, RunOrder
from lovageshunt.retries import (
    AllowancePool,
    AttemptFailure,
    FleetRetryBudgets,
    RetryPlace,
    decide_retry,
)
from lovageshunt.routes import (
    Configuration,
    Route,
    RouteTable,
    WeightedRoundRobin,
)
from lovageshunt.routing import PlacementRequest
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet, TargetEntry
from lovageshunt.sidecar._header_names import HeaderNames
from lovageshunt.sidecar._origin_call import Attempt, OriginCall
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._pressure_reports import PressureReports
from lovageshunt.sidecar._responder import Responder
from lovageshunt.sidecar._suspects import Suspects

_MS_PER_SECOND: Final = 1000
#: ``retry-after`` of a node without a configuration, in ms. It requests one
#: several times a second.
_SETTLING_RETRY_MS: Final = 500
#: ``retry-after`` of a node that shuts down, in ms. By then its clients use
#: another node.
_LEAVING_RETRY_MS: Final = 300
#: ``retry-after`` when no target of the service is reachable, in ms.
_NO_TARGET_RETRY_MS: Final = 300
#: How long after its deadline a call without a response times out here, in
#: seconds. The target's node ends it slightly earlier.
_TIMEOUT_DELAY_SECONDS: Final = 0.2
#: The time left that a retry requires at least, in seconds.
_MIN_RETRY_SECONDS: Final = 0.05
#: A number of ms with more digits is longer than any timeout.
_MAX_DIGITS: Final = 12


class Origin:
    """Routes requests, sends them to targets, retries and responds.

    ``open_count`` is the number of requests without a response. Until
    ``apply_configuration`` is called, and after ``close``, every request is
    refused.
    """

    def __init__(
        self,
        *,
        own_host: str,
        own_service: str,
        header_names: HeaderNames,
        executor: Executor,
        fleet: Fleet,
        peers: Peers,
        budgets: FleetRetryBudgets,
        reports: PressureReports,
        responder: Responder,
        suspects: Suspects,
        rng: Random,
    ) -> None:
        self._suspects = suspects
        self._own_host = own_host
        self._own_service = own_service
        self._header_names = header_names
        self._dropped = header_names.overwritten
        self._executor = executor
        self._fleet = fleet
        self._peers = peers
        self._budgets = budgets
        self._reports = reports
        self._responder = responder
        self._rng = rng
        self._table: RouteTable | None = None
        self._cursor = WeightedRoundRobin()
        self.open_count = 0
        self._accepts_all_until = float('inf')
        self._stops_at = float('inf')

    def stop(self, *, accepts_all_until: float, stops_at: float) -> None:
        """Begin a planned shutdown that ends at ``stops_at``.

        From ``accepts_all_until`` on, requests that could still be in
        progress at ``stops_at`` are refused. Both are in seconds on the clock.
        """
        self._accepts_all_until = accepts_all_until
        self._stops_at = stops_at

    def close(self) -> None:
        """End a planned shutdown: refuse all requests, retry none."""
        self._accepts_all_until = float('-inf')
        self._stops_at = float('-inf')

    def apply_configuration(self, configuration: Configuration) -> None:
        """Route further requests by this configuration."""
        self._table = RouteTable.of(configuration)

    def handle(
        self,
        request: Request,
        connection: ServerConnection,
    ) -> OriginCall:
        """Start handling a request; respond on its connection."""
        attempt_id = request.header(self._header_names.attempt_id)
        call = OriginCall(request, connection, attempt_id)
        self.open_count += 1
        route = self._find_route(call)
        if route is not None and self._accept(call, route):
            self._begin(call, route)
        return call

    def abandon(self, call: OriginCall) -> None:
        """Cancel a request whose client disconnected."""
        if call.is_over:
            return
        self._cancel_attempt(call)
        self._responder.note_disconnect(call)
        self._end(call)

    def _find_route(self, call: OriginCall) -> Route | None:
        """Route a request; respond and return ``None`` if that fails."""
        if self._table is None:
            self._refuse(call, RefusalReason.SETTLING, _SETTLING_RETRY_MS)
            return None
        host = call.request.header(b'host').decode('latin-1')
        target = call.request.target.decode('latin-1')
        route = self._table.find(host, target)
        if route is None:
            self._responder.send_not_found(call)
            self._end(call)
            return None
        call.route = route
        call.service = self._cursor.choose(route)
        seconds = self._seconds_left(call.request, route)
        call.deadline = call.started_at + seconds
        return route

    def _accept(self, call: OriginCall, route: Route) -> bool:
        """Return whether a request may be sent; respond if it may not."""
        if self._outlasts_stop(call):
            self._refuse(call, RefusalReason.LEAVING, _LEAVING_RETRY_MS)
            return False
        retry_ms = self._suspects.refusal_ms(call.request)
        if retry_ms is not None:
            self._refuse(call, RefusalReason.QUARANTINE, retry_ms)
            return False
        call.is_internal = self._reports.record_arrival(
            route.name, call.started_at
        )
        return call.is_internal or self._admit(call, route)

    def _begin(self, call: OriginCall, route: Route) -> None:
        """Send a request to its first target."""
        self._count(call)
        delay = call.deadline - call.started_at + _TIMEOUT_DELAY_SECONDS
        loop = get_running_loop()
        call.overdue = loop.call_later(delay, self._time_out, call)
        entry = self._fleet.choose(call.service, self._wanted(call, route))
        if entry is None:
            self._refuse(call, RefusalReason.NO_TARGET, _NO_TARGET_RETRY_MS)
            return
        self._start_attempt(call, route, entry)

    def _refuse(
        self, call: OriginCall, reason: RefusalReason, retry_ms: int
    ) -> None:
        self._responder.send_not_run(call, reason, retry_ms)
        self._end(call)

    def _outlasts_stop(self, call: OriginCall) -> bool:
        """Return whether a request may outlast a planned shutdown."""
        if call.started_at < self._accepts_all_until:
            return False
        return call.deadline + _TIMEOUT_DELAY_SECONDS > self._stops_at

    def _admit(self, call: OriginCall, route: Route) -> bool:
        """Refuse a request that an overloaded service below would refuse.

        Return whether the request was admitted.
        """
        decision = self._reports.root_admission.decision(
            route.name,
            route.importance,
            call.started_at,
        )
        if decision.retry_seconds is None:
            return True
        retry_ms = round(decision.retry_seconds * _MS_PER_SECOND)
        self._responder.send_not_run(call, 'overload', retry_ms, decision)
        self._end(call)
        return False

    def _count(self, call: OriginCall) -> None:
        """Count the call in the retry budget of its service.

        A call does not identify the run that made it. A call by the target
        is therefore counted as a repeat with a probability equal to the share
        of repeats among the runs in progress.
        """
        budget = self._budgets.of(call.service)
        share = self._executor.repeat_share if call.is_internal else 0
        call.is_repeat = self._rng.random() < share
        if call.is_repeat:
            budget.count_nested_retry(call.started_at)
        else:
            budget.requested(call.started_at)

    def _wanted(self, call: OriginCall, route: Route) -> PlacementRequest:
        return PlacementRequest(
            kind=route.name,
            seconds=min(route.aim_seconds, route.timeout_seconds),
            may_explore=route.is_repeatable,
            excluded=call.excluded,
            allowed=call.allowed_targets(route.most_attempts),
        )

    def _seconds_left(self, request: Request, route: Route) -> float:
        text = request.header(self._header_names.time_left)
        if not text.isdigit() or len(text) > _MAX_DIGITS:
            return route.timeout_seconds
        return min(int(text) / _MS_PER_SECOND, route.timeout_seconds)

    def _start_attempt(
        self,
        call: OriginCall,
        route: Route,
        entry: TargetEntry,
    ) -> None:
        call.tries += 1
        attempt = Attempt(entry)
        call.attempt = attempt
        call.sent_to |= {entry.target_id}
        self._fleet.call_started(entry)
        order = RunOrder(
            attempt_id=call.attempt_id,
            target_id=entry.target_id,
            kind=route.name,
            caller_service=self._own_service,
            importance=0 if call.is_internal else 1 + route.importance,
            is_repeatable=route.is_repeatable,
            is_repeat=call.is_repeat or call.has_run,
            deadline=call.deadline,
            method=call.request.method,
            request_target=call.request.target,
            fields=forwarded_fields(call.request.headers, self._dropped),
            body=call.request.body,
        )
        self._send(call, attempt, order)

    def _send(
        self,
        call: OriginCall,
        attempt: Attempt,
        order: RunOrder,
    ) -> None:
        ended = partial(self._on_ended, call, attempt)
        host = attempt.entry.host
        if host == self._own_host:
            run = self._executor.submit(order, ended)
            attempt.cancel = partial(self._executor.abandon, run)
            return
        dialer = self._peers.dialer(host)
        stream = dialer.send(order, ended)
        attempt.cancel = partial(dialer.cancel, stream)

    def _on_ended(
        self,
        call: OriginCall,
        attempt: Attempt,
        answer: RunAnswer,
    ) -> None:
        if call.is_over:
            return
        now = clock_now()
        entry = attempt.entry
        self._fleet.call_ended(
            entry,
            call.kind,
            answer,
            now - attempt.sent_at,
        )
        call.attempt = None
        if answer.outcome is Outcome.ANSWERED:
            self._responder.forward(call, answer)
            self._end(call)
            return
        call.note_failed_attempt(entry.target_id, answer.reason)
        call.has_run |= answer.outcome is not Outcome.NOT_RUN
        # The unknown outcome of a non-repeatable call is not inquired about:
        # by now its link was restored to the same node, or is lost for good.
        route = call.route
        if route is not None and self._retry(call, route, answer):
            return
        self._responder.send_failure(call, answer)
        self._end(call)

    def _retry(
        self,
        call: OriginCall,
        route: Route,
        answer: RunAnswer,
    ) -> bool:
        """Send a call to another target if allowed; return whether sent.

        A call that has crashed targets risks no more of them in one attempt.
        """
        if call.has_run and self._suspects.is_suspect(call.request):
            return False
        if clock_now() >= self._stops_at:
            return False
        other = self._fleet.choose(call.service, self._wanted(call, route))
        if other is None and call.allow_last_refuser():
            other = self._fleet.choose(call.service, self._wanted(call, route))
        budget = self._budgets.of(call.service)
        is_shed = answer.reason is RefusalReason.SHED
        if other is None or is_shed and not budget.keeps_pace(clock_now()):
            return False
        decision = decide_retry(
            AttemptFailure(
                outcome=answer.outcome,
                reason=answer.reason,
                tries=call.tries,
            ),
            now=clock_now(),
            deadline=call.deadline,
            is_repeatable=route.is_repeatable,
            pool=AllowancePool(call.attempts_left(route.most_attempts)),
            budget=budget,
            typical_seconds=_MIN_RETRY_SECONDS,
            random=self._rng,
        )
        if decision.place is not RetryPlace.OTHER:
            return False
        self._responder.note_retry(call, answer)
        self._start_attempt(call, route, other)
        return True

    def _time_out(self, call: OriginCall) -> None:
        """End a call without a response after its deadline."""
        if call.is_over:
            return
        self._cancel_attempt(call)
        self._responder.send_timeout(call)
        self._end(call)

    def _cancel_attempt(self, call: OriginCall) -> None:
        """Cancel the attempt in progress, if there is one."""
        attempt = call.attempt
        if attempt is None:
            return
        self._fleet.call_abandoned(attempt.entry)
        if attempt.cancel is not None:
            attempt.cancel()

    def _end(self, call: OriginCall) -> None:
        if call.is_over:
            return
        call.is_over = True
        self.open_count -= 1
        if call.overdue is not None:
            call.overdue.cancel()
