"""Makes the attempts of one call until it ends or may not be retried."""

from asyncio import sleep
from typing import Final

from expression import Error, Ok, Result

from lovageshunt.calls import CallContext, HomeNode, Outcome, RefusalReason
from lovageshunt.client._attempt import AttemptResult, send_attempt
from lovageshunt.client._engine import Engine, ServiceState
from lovageshunt.client._messages import Answer, Call, call_error
from lovageshunt.clock import now
from lovageshunt.errors import CallError
from lovageshunt.idempotency import next_attempt_number
from lovageshunt.retries import (
    AllowancePool,
    AttemptFailure,
    OutcomeTracker,
    RetryPlace,
    decide_retry,
)
from lovageshunt.routing import RouteMember
from lovageshunt.rules import KindRule

_MS_PER_SECOND: Final = 1000
#: Retry-after of a call for which the client knows no target.
_NO_TARGET_RETRY_AFTER_MS: Final = 500
_DEADLINE_RETRY_AFTER_MS: Final = 1000


class Attempts:
    """Makes the attempts of one call.

    A call that must not be repeated carries the home that may run it. Later
    attempts go to the same home until that home proves that no earlier one
    ran. ``deadline`` is in seconds on the clock of this process.
    """

    def __init__(
        self,
        engine: Engine,
        *,
        call: Call,
        rule: KindRule,
        context: CallContext,
        pool: AllowancePool,
        deadline: float,
    ) -> None:
        self._engine = engine
        self._call = call
        self._rule = rule
        self._context = context
        self._pool = pool
        self._deadline = deadline
        self._started_at = now()
        self._first_age_ms = context.age_ms
        self._first_attempt = context.attempt
        self._service: ServiceState = engine.service_state(
            call.service, self._started_at
        )
        self._outcome_tracker = OutcomeTracker()
        self._tried_nodes: set[str] = set()
        self._attempt_count = 0
        self._home_proved_not_run = False

    async def run(self) -> Result[Answer, CallError]:
        """Return the answer, or the typed error of the whole call."""
        refusal = self._local_refusal()
        if refusal is not None:
            self._count_start()
            reason = RefusalReason(refusal.reason)
            self._count_end(Outcome.NOT_RUN, reason, ran=False)
            return Error(refusal)
        while True:
            member = self._choose_member()
            if member is None:
                return Error(self._no_target())
            result = await self._attempt(member)
            if (
                result.info.outcome is Outcome.ANSWERED
                and result.response is not None
            ):
                return Ok(self._answer(result))
            if not await self._wait_to_retry(member, result):
                return Error(self._error(result))

    def _request_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome that may be reported for the whole request.

        If the caller repeats a request, an earlier attempt may have run;
        only a *not run* answer from the home covers that attempt too.
        """
        if outcome is not Outcome.NOT_RUN or self._first_attempt == 1:
            return outcome
        if self._rule.is_repeatable:
            return Outcome.FAILED
        return outcome if self._home_proved_not_run else Outcome.UNKNOWN

    def _local_refusal(self) -> CallError | None:
        context = self._context
        if self._deadline <= self._started_at:
            return call_error(
                context.request_id,
                self._request_outcome(Outcome.NOT_RUN),
                RefusalReason.DEADLINE,
                _DEADLINE_RETRY_AFTER_MS,
            )
        retry_after_ms = self._engine.refusal_retry_after_ms(
            self._call.service,
            self._rule.kind,
            context.level,
            self._started_at,
        )
        if retry_after_ms is None:
            return None
        return call_error(
            context.request_id,
            self._request_outcome(Outcome.NOT_RUN),
            RefusalReason.OVERLOAD,
            retry_after_ms,
        )

    def _choose_member(self) -> RouteMember | None:
        home = self._context.home
        if home is not None:
            return self._member_named(home.node)
        at = now()
        router = self._service.router
        member = router.choose(at, frozenset(self._tried_nodes))
        return member or router.choose(at)

    def _member_named(self, node: str) -> RouteMember | None:
        members = self._engine.view.members_by_service
        for member in members.get(self._call.service, ()):
            if member.node == node:
                return member
        # The home is no longer in the view, so any member may be called.
        return self._service.router.choose(now())

    async def _attempt(self, member: RouteMember) -> AttemptResult:
        self._attempt_count += 1
        self._prepare_context(member)
        self._outcome_tracker.begin()
        self._count_start()
        share = self._context.retries_left
        started_at = now()
        self._service.router.started(member.node, started_at)
        try:
            result = await send_attempt(
                self._engine.transport,
                member,
                self._call,
                self._context,
                self._engine.options.context_key,
            )
        except BaseException:
            self._service.router.lost(member.node, now())
            self._count_end(Outcome.UNKNOWN, RefusalReason.CANCELLED, ran=True)
            raise
        self._record_result(member, result, now() - started_at)
        self._pool.give_back(share=share, unspent=result.info.unspent)
        self._count_result(result)
        return result

    def _prepare_context(self, member: RouteMember) -> None:
        at = now()
        context = self._context
        left = self._deadline - at
        elapsed = at - self._started_at
        context.timeout_ms = max(1, int(left * _MS_PER_SECOND))
        context.age_ms = self._first_age_ms + int(elapsed * _MS_PER_SECOND)
        context.attempt = self._next_number()
        context.retries_left = self._pool.share(
            calls_below=self._service.calls_below,
        )
        if self._may_set_home(member):
            context.home = HomeNode(
                node=member.node,
                incarnation=member.incarnation,
            )

    def _next_number(self) -> int:
        if self._rule.is_repeatable:
            sent = self._attempt_count - 1
            return self._first_attempt + sent if self._first_attempt else 0
        return next_attempt_number(
            self._first_attempt,
            is_proved_not_run=self._is_proved_not_run,
        )

    def _may_set_home(self, member: RouteMember) -> bool:
        if self._rule.is_repeatable or self._context.home is not None:
            return False
        # A repeated request may have a home already, which only the node
        # that receives it can look up.
        return self._first_attempt == 1 and bool(member.incarnation)

    def _record_result(
        self,
        member: RouteMember,
        result: AttemptResult,
        seconds: float,
    ) -> None:
        at = now()
        info = result.info
        if result.is_lost:
            self._service.router.lost(member.node, at)
            return
        self._service.router.answered(
            member.node,
            at,
            seconds=seconds,
            outcome=info.outcome,
            reason=info.reason,
            load=info.load,
        )
        self._service.calls_below = info.calls_below
        self._engine.learn_thresholds(
            self._call.service, self._rule.kind, info, at
        )
        if info.outcome is Outcome.ANSWERED:
            self._service.succeeded(seconds, at)
        if info.home is not None and not self._rule.is_repeatable:
            self._context.home = info.home

    def _count_result(self, result: AttemptResult) -> None:
        info = result.info
        was_unsent = result.is_lost and info.outcome is Outcome.NOT_RUN
        self._count_end(info.outcome, info.reason, ran=not was_unsent)
        self._outcome_tracker.end(info.outcome)
        is_proof_from_home = (
            not self._rule.is_repeatable
            and not result.is_lost
            and result.info.outcome is Outcome.NOT_RUN
        )
        if is_proof_from_home:
            self._outcome_tracker.prove_not_run()
            self._home_proved_not_run = True

    @property
    def _is_proved_not_run(self) -> bool:
        return (
            not self._attempt_count
            or self._outcome_tracker.outcome is Outcome.NOT_RUN
        )

    def _count_start(self) -> None:
        self._engine.account.arrived(
            self._call.service,
            self._rule.kind,
            self._context.importance,
            is_retry=self._attempt_count > 1,
        )

    def _count_end(
        self,
        outcome: Outcome,
        reason: RefusalReason | None,
        *,
        ran: bool,
    ) -> None:
        self._engine.account.ended(
            self._call.service,
            self._rule.kind,
            self._context.importance,
            outcome,
            reason,
            ran=ran,
        )

    async def _wait_to_retry(
        self, member: RouteMember, result: AttemptResult
    ) -> bool:
        info = result.info
        outcome = info.outcome
        if not self._rule.is_repeatable:
            outcome = self._outcome_tracker.outcome
        self._context.suspicion = max(self._context.suspicion, info.suspicion)
        at = now()
        verdict = decide_retry(
            AttemptFailure(
                outcome=outcome,
                reason=info.reason,
                retry_after_ms=info.retry_after_ms,
                tries=self._attempt_count,
                was_retried_below=info.unspent < self._context.retries_left
                and not result.is_lost,
                other_targets=self._other_targets(member),
            ),
            now=at,
            deadline=self._deadline,
            is_repeatable=self._rule.is_repeatable,
            pool=self._pool,
            budget=self._service.budget,
            typical_seconds=self._service.typical_seconds,
            random=self._engine.rng,
        )
        if verdict.place is None:
            return False
        if verdict.place is RetryPlace.OTHER:
            self._tried_nodes.add(member.node)
            self._context.home = None
        await sleep(verdict.delay_seconds)
        return True

    def _other_targets(self, member: RouteMember) -> int:
        members = self._engine.view.members_by_service
        tried = {member.node, *self._tried_nodes}
        return sum(
            other.node not in tried and not other.is_leaving
            for other in members.get(self._call.service, ())
        )

    def _answer(self, result: AttemptResult) -> Answer:
        if result.response is None:
            raise RuntimeError('an answered attempt has no response')
        return Answer(
            request_id=self._context.request_id,
            status=result.response.status,
            headers=result.response.headers,
            body=result.response.body,
        )

    def _error(self, result: AttemptResult) -> CallError:
        retry_after_ms = result.info.retry_after_ms or _DEADLINE_RETRY_AFTER_MS
        return call_error(
            self._context.request_id,
            self._request_outcome(self._outcome_tracker.outcome),
            result.info.reason,
            retry_after_ms,
        )

    def _no_target(self) -> CallError:
        outcome = Outcome.NOT_RUN
        if self._attempt_count:
            outcome = self._outcome_tracker.outcome
        return call_error(
            self._context.request_id,
            self._request_outcome(outcome),
            RefusalReason.NO_TARGET,
            _NO_TARGET_RETRY_AFTER_MS,
        )
