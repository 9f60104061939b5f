"""All attempts of one call, until its outcome is certain or time is up."""

from asyncio import sleep
from typing import Final

from expression import Error, Ok, Result

from lovageshunt.calls import CallContext, HomeNode, Outcome, RefusalReason
from lovageshunt.client._attempt import AttemptEnd, send_attempt
from lovageshunt.client._engine import Engine, ServiceLink
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
#: When to come back if the client knows no target.
_NO_TARGET_RETRY_MS: Final = 500
_LATE_RETRY_MS: Final = 1000


class Attempts:
    """Makes the attempts of one call.

    A call that must not repeat is stamped with the home that may run it; a
    later attempt goes to the same home, until that home proves that none of
    them ran.
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
        """Take the call; ``deadline`` is on this process's clock."""
        self._engine = engine
        self._call = call
        self._rule = rule
        self._context = context
        self._pool = pool
        self._deadline = deadline
        self._started_at = now()
        self._first_age_ms = context.age_ms
        self._first_attempt = context.attempt
        self._link: ServiceLink = engine.link(call.service, self._started_at)
        self._tally = OutcomeTracker()
        self._tried: set[str] = set()
        self._tries = 0
        self._has_home_word = False

    async def run(self) -> Result[Answer, CallError]:
        """Return the whole answer, or the typed failure."""
        refusal = self._refusal()
        if refusal is not None:
            self._count_begin()
            reason = RefusalReason(refusal.reason)
            self._count_end(Outcome.NOT_RUN, reason, ran=False)
            return Error(refusal)
        while True:
            member = self._choose()
            if member is None:
                return Error(self._no_target())
            end = await self._attempt(member)
            if end.said.outcome is Outcome.ANSWERED and end.whole is not None:
                return Ok(self._answer(end))
            if not await self._goes_on(member, end):
                return Error(self._error(end))

    def _claim(self, outcome: Outcome) -> Outcome:
        """Return what may be said of the whole request.

        When the caller repeats a request, an earlier attempt of it may have
        run; only the home's own word covers that one.
        """
        if outcome is not Outcome.NOT_RUN or self._first_attempt == 1:
            return outcome
        if self._rule.is_repeatable:
            return Outcome.FAILED
        return outcome if self._has_home_word else Outcome.UNKNOWN

    def _refusal(self) -> CallError | None:
        context = self._context
        if self._deadline <= self._started_at:
            return call_error(
                context.request_id,
                self._claim(Outcome.NOT_RUN),
                RefusalReason.DEADLINE,
                _LATE_RETRY_MS,
            )
        wait_ms = self._engine.refusal_ms(
            self._call.service,
            self._rule.kind,
            context.level,
            self._started_at,
        )
        if wait_ms is None:
            return None
        return call_error(
            context.request_id,
            self._claim(Outcome.NOT_RUN),
            RefusalReason.OVERLOAD,
            wait_ms,
        )

    def _choose(self) -> RouteMember | None:
        home = self._context.home
        if home is not None:
            return self._member_named(home.node)
        at = now()
        router = self._link.router
        member = router.choose(at, frozenset(self._tried))
        return member or router.choose(at)

    def _member_named(self, node: str) -> RouteMember | None:
        members = self._engine.view.members_by_service
        for member in members.get(self._call.service, ()):
            if member.node == node:
                return member
        # The home is gone from the view, so any member may be asked.
        return self._link.router.choose(now())

    async def _attempt(self, member: RouteMember) -> AttemptEnd:
        self._tries += 1
        self._prepare(member)
        self._tally.begin()
        self._count_begin()
        share = self._context.retries_left
        started_at = now()
        self._link.router.started(member.node, started_at)
        try:
            end = await send_attempt(
                self._engine.transport,
                member,
                self._call,
                self._context,
                self._engine.options.context_key,
            )
        except BaseException:
            self._link.router.lost(member.node, now())
            self._count_end(Outcome.UNKNOWN, RefusalReason.CANCELLED, ran=True)
            raise
        self._learn(member, end, now() - started_at)
        self._pool.give_back(share=share, unspent=end.said.unspent)
        self._count(end)
        return end

    def _prepare(self, member: RouteMember) -> None:
        at = now()
        context = self._context
        left = self._deadline - at
        elapsed = at - self._started_at
        context.timeout_ms = max(1, int(left * _MS_PER_SECOND))
        context.age_ms = self._first_age_ms + int(elapsed * _MS_PER_SECOND)
        context.attempt = self._number()
        context.retries_left = self._pool.share(
            calls_below=self._link.calls_below,
        )
        if self._may_stamp(member):
            context.home = HomeNode(
                node=member.node,
                incarnation=member.incarnation,
            )

    def _number(self) -> int:
        """Return the attempt number to send next."""
        if self._rule.is_repeatable:
            sent = self._tries - 1
            return self._first_attempt + sent if self._first_attempt else 0
        return next_attempt_number(
            self._first_attempt,
            is_proved_not_run=self._is_proved_not_run,
        )

    def _may_stamp(self, member: RouteMember) -> bool:
        if self._rule.is_repeatable or self._context.home is not None:
            return False
        # A resend may have a home already, which only its node can find.
        return self._first_attempt == 1 and bool(member.incarnation)

    def _learn(
        self,
        member: RouteMember,
        end: AttemptEnd,
        seconds: float,
    ) -> None:
        at = now()
        said = end.said
        if end.is_lost:
            self._link.router.lost(member.node, at)
            return
        self._link.router.answered(
            member.node,
            at,
            seconds=seconds,
            outcome=said.outcome,
            reason=said.reason,
            load=said.load,
        )
        self._link.calls_below = said.calls_below
        self._engine.learn(self._call.service, self._rule.kind, said, at)
        if said.outcome is Outcome.ANSWERED:
            self._link.succeeded(seconds, at)
        if said.home is not None and not self._rule.is_repeatable:
            self._context.home = said.home

    def _count(self, end: AttemptEnd) -> None:
        said = end.said
        was_unsent = end.is_lost and said.outcome is Outcome.NOT_RUN
        self._count_end(said.outcome, said.reason, ran=not was_unsent)
        self._tally.end(said.outcome)
        is_home_word = (
            not self._rule.is_repeatable
            and not end.is_lost
            and end.said.outcome is Outcome.NOT_RUN
        )
        if is_home_word:
            self._tally.prove_not_run()
            self._has_home_word = True

    @property
    def _is_proved_not_run(self) -> bool:
        return not self._tries or self._tally.outcome is Outcome.NOT_RUN

    def _count_begin(self) -> None:
        self._engine.account.arrived(
            self._call.service,
            self._rule.kind,
            self._context.importance,
            is_retry=self._tries > 1,
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

    async def _goes_on(self, member: RouteMember, end: AttemptEnd) -> bool:
        said = end.said
        outcome = said.outcome
        if not self._rule.is_repeatable:
            outcome = self._tally.outcome
        self._context.suspicion = max(self._context.suspicion, said.suspicion)
        at = now()
        verdict = decide_retry(
            AttemptFailure(
                outcome=outcome,
                reason=said.reason,
                retry_after_ms=said.retry_after_ms,
                tries=self._tries,
                was_retried_below=said.unspent < self._context.retries_left
                and not end.is_lost,
                other_targets=self._other_targets(member),
            ),
            now=at,
            deadline=self._deadline,
            is_repeatable=self._rule.is_repeatable,
            pool=self._pool,
            budget=self._link.budget,
            typical_seconds=self._link.typical_seconds,
            random=self._engine.rng,
        )
        if verdict.place is None:
            return False
        if verdict.place is RetryPlace.OTHER:
            self._tried.add(member.node)
            self._context.home = None
        await sleep(verdict.delay_seconds)
        return True

    def _other_targets(self, member: RouteMember) -> int:
        members = self._engine.view.members_by_service
        tried = {member.node, *self._tried}
        return sum(
            other.node not in tried and not other.is_leaving
            for other in members.get(self._call.service, ())
        )

    def _answer(self, end: AttemptEnd) -> Answer:
        if end.whole is None:
            raise RuntimeError('an answered attempt has its whole answer')
        return Answer(
            request_id=self._context.request_id,
            status=end.whole.status,
            headers=end.whole.headers,
            body=end.whole.body,
        )

    def _error(self, end: AttemptEnd) -> CallError:
        wait_ms = end.said.retry_after_ms or _LATE_RETRY_MS
        return call_error(
            self._context.request_id,
            self._claim(self._tally.outcome),
            end.said.reason,
            wait_ms,
        )

    def _no_target(self) -> CallError:
        outcome = Outcome.NOT_RUN
        if self._tries:
            outcome = self._tally.outcome
        return call_error(
            self._context.request_id,
            self._claim(outcome),
            RefusalReason.NO_TARGET,
            _NO_TARGET_RETRY_MS,
        )
