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
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet, TargetEntry
from lovageshunt.sidecar._header_names import HeaderNames
from lovageshunt.sidecar._origin_call import (
    TIMEOUT_DELAY_SECONDS,
    Attempt,
    OriginCall,
)
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._pressure_reports import PressureReports
from lovageshunt.sidecar._responder import Responder
from lovageshunt.sidecar._suspects import Suspects
from lovageshunt.sidecar.checks import (
    KeyCheck,
    LimitCheck,
    Refusal,
    RoomCheck,
    StopCheck,
    SuspectCheck,
    first_refusal,
)

_MS_PER_SECOND: Final = 1000
#: The lowest importance that an order can carry.
_MAX_ORDER_IMPORTANCE: Final = 255
#: A node without a configuration requests one several times a second.
_SETTLING: Final = Refusal(reason=RefusalReason.SETTLING, retry_ms=500)
#: No target of the service is reachable.
_NO_TARGET: Final = Refusal(reason=RefusalReason.NO_TARGET, retry_ms=300)
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
        accounts: ClientAccounts,
        rng: Random,
    ) -> None:
        self._suspects = suspects
        self._own_host = own_host
        self._own_service = own_service
        self._header_names = header_names
        self._dropped = header_names.overwritten
        self._stop_check = StopCheck()
        self._checks = (
            self._stop_check,
            KeyCheck(accounts, header_names.account_key),
            LimitCheck(accounts),
            SuspectCheck(suspects),
            RoomCheck(reports),
        )
        self._executor = executor
        self._fleet = fleet
        self._peers = peers
        self._budgets = budgets
        self._responder = responder
        self._rng = rng
        self._table: RouteTable | None = None
        self._cursor = WeightedRoundRobin()
        self.open_count = 0

    def stop(self, *, accepts_all_until: float, stops_at: float) -> None:
        """Begin a planned shutdown, see ``StopCheck.begin``."""
        self._stop_check.begin(
            accepts_all_until=accepts_all_until, stops_at=stops_at
        )

    def close(self) -> None:
        """End a planned shutdown: refuse all requests, retry none."""
        self._stop_check.end()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Route further requests by this configuration."""
        self._table = RouteTable.of(configuration)
        self._dropped = self._header_names.overwritten
        if configuration.accounts:
            self._dropped |= self._header_names.of_accounts

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
        if route is None:
            return call
        refusal = first_refusal(self._checks, call)
        if refusal is None:
            self._begin(call, route)
        else:
            self._refuse(call, refusal)
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
            self._refuse(call, _SETTLING)
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

    def _begin(self, call: OriginCall, route: Route) -> None:
        """Send a request to its first target."""
        self._count(call)
        delay = call.deadline - call.started_at + TIMEOUT_DELAY_SECONDS
        loop = get_running_loop()
        call.overdue = loop.call_later(delay, self._time_out, call)
        entry = self._fleet.choose(call.service, self._wanted(call, route))
        if entry is None:
            self._refuse(call, _NO_TARGET)
            return
        self._start_attempt(call, route, entry)

    def _refuse(self, call: OriginCall, refusal: Refusal) -> None:
        self._responder.send_refusal(call, refusal)
        self._end(call)

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
        attempt = call.begin_attempt(entry)
        self._fleet.call_started(entry)
        order = RunOrder(
            attempt_id=call.attempt_id,
            target_id=entry.target_id,
            kind=route.name,
            caller_service=self._own_service,
            importance=_order_importance(call),
            is_repeatable=route.is_repeatable,
            is_repeat=call.is_repeat or call.has_run,
            deadline=call.deadline,
            method=call.request.method,
            request_target=call.request.target,
            fields=self._forwarded_fields(call),
            body=call.request.body,
        )
        self._send(call, attempt, order)

    def _forwarded_fields(self, call: OriginCall) -> bytes:
        """Return the header lines for the target, with the account's name."""
        fields = forwarded_fields(call.request.headers, self._dropped)
        if call.account is None:
            return fields
        name = call.account.name.encode()
        return b'%b%b: %b\r\n' % (fields, self._header_names.account, name)

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
        if clock_now() >= self._stop_check.stops_at:
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


def _order_importance(call: OriginCall) -> int:
    """Return that of an order: calls by the target go first."""
    if call.is_internal:
        return 0
    return min(_MAX_ORDER_IMPORTANCE, 1 + call.importance)
