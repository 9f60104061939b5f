"""The calls that belong to one request."""

from asyncio import gather
from typing import Final

from expression import Error, Result
from starlette.responses import Response

from lovageshunt.calls import (
    AnswerInfo,
    CallContext,
    Outcome,
    RefusalReason,
    rank_of,
)
from lovageshunt.client._attempts import Attempts
from lovageshunt.client._engine import Engine
from lovageshunt.client._messages import Answer, Call, call_error
from lovageshunt.clock import now
from lovageshunt.errors import CallError, CallUnknownError
from lovageshunt.retries import AllowancePool, allowance_for
from lovageshunt.rules import KindRule

_MS_PER_SECOND: Final = 1000
_RETRY_BOUND_RETRY_AFTER_MS: Final = 5000
_FAILED_STATUS: Final = 502
_UNKNOWN_STATUS: Final = 504


class CallScope:
    """One request at one hop, and the calls made for it.

    Calls inherit the request's importance and rank, its remaining time and
    shares of its retries. Its time runs from the creation of the scope.
    """

    def __init__(
        self,
        engine: Engine,
        context: CallContext,
        *,
        is_root: bool,
    ) -> None:
        self._engine = engine
        self._context = context
        self._is_root = is_root
        self._started_at = now()
        self._pool: AllowancePool | None = None
        if not is_root:
            self._pool = AllowancePool(context.retries_left)
        self._call_count = 0
        self._answered: list[KindRule] = []
        #: The services that this hop has called for the request.
        self.called_services: set[str] = set()
        #: The control part that this hop must send if the request fails.
        self.failure_info: AnswerInfo | None = None

    @property
    def context(self) -> CallContext:
        """The context of the request, as received by this hop."""
        return self._context

    @property
    def request_id(self) -> str:
        """The id of the root request, which all its calls share."""
        return self._context.request_id

    @property
    def call_id(self) -> str:
        """The id of the call that this hop serves."""
        return self._context.call_id

    @property
    def unspent(self) -> int:
        """The unused retries that this hop's answer returns."""
        return self._pool.unspent if self._pool else 0

    @property
    def seconds_left(self) -> float:
        """The seconds until the request's deadline; negative after it."""
        elapsed = now() - self._started_at
        return self._context.timeout_ms / _MS_PER_SECOND - elapsed

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Result[Answer, CallError]:
        """Make one call and return its answer or its typed error."""
        call = Call(
            service=service,
            method=method,
            path=path,
            body=body,
            headers=headers,
        )
        pool = self._pool_for(call)
        if pool is None:
            return Error(self._retry_bound_error())
        return await self._run(call, pool)

    async def call_all(
        self,
        calls: list[Call],
    ) -> list[Result[Answer, CallError]]:
        """Make calls concurrently and return their replies in order.

        The retries are divided among the calls before they start.
        """
        shared_pool = self._pool_for(calls[0]) if calls else None
        if shared_pool is None:
            return [Error(self._retry_bound_error()) for _ in calls]
        pools = [
            AllowancePool(share) for share in shared_pool.shares(len(calls))
        ]
        replies = await gather(
            *(
                self._run(call, pool)
                for call, pool in zip(calls, pools, strict=True)
            ),
        )
        for pool in pools:
            shared_pool.give_back(share=pool.unspent, unspent=pool.unspent)
        return list(replies)

    def failure_response(self, error: CallError) -> Response:
        """Return this hop's response after a call that it needs has failed.

        The hop itself has run, so the outcome is never *not run*.
        """
        self._count_wasted()
        is_unknown = isinstance(error, CallUnknownError)
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.FAILED
        self.failure_info = AnswerInfo(
            call_id=self.call_id,
            outcome=outcome,
            reason=RefusalReason(error.reason),
            retry_after_ms=error.retry_after_ms,
        )
        return Response(
            str(error),
            status_code=_UNKNOWN_STATUS if is_unknown else _FAILED_STATUS,
        )

    async def _run(
        self,
        call: Call,
        pool: AllowancePool,
    ) -> Result[Answer, CallError]:
        rule = self._rule_for(call)
        self._call_count += 1
        self.called_services.add(call.service)
        context = self._call_context(rule, self._call_count)
        attempts = Attempts(
            self._engine,
            call=call,
            rule=rule,
            context=context,
            pool=pool,
            deadline=now() + context.timeout_ms / _MS_PER_SECOND,
        )
        reply = await attempts.run()
        if reply.is_ok():
            self._answered.append(rule)
        return reply

    def _count_wasted(self) -> None:
        """Count the answered calls of a request that fails as wasted."""
        for rule in self._answered:
            self._engine.account.wasted(
                rule.service,
                rule.kind,
                self._context.importance,
            )

    def _pool_for(self, call: Call) -> AllowancePool | None:
        """Return the retry pool of the request.

        The rule of its first call determines that of a root request.
        """
        if self._pool is None:
            rule = self._rule_for(call)
            share = allowance_for(rule.retry_bound, self._context.attempt)
            if share is not None:
                self._pool = AllowancePool(share.retries)
            elif not rule.is_repeatable:
                # It cannot run again; this attempt only queries its outcome.
                self._pool = AllowancePool(0)
        return self._pool

    def _rule_for(self, call: Call) -> KindRule:
        view = self._engine.view
        return view.rule_for(call.service, call.method, call.path)

    def _call_context(self, rule: KindRule, number: int) -> CallContext:
        own = self._context
        importance = own.importance
        if self._is_root:
            importance = rule.importance_for(self._engine.options.name)
        left_ms = int(self.seconds_left * _MS_PER_SECOND)
        elapsed = now() - self._started_at
        return CallContext(
            request_id=own.request_id,
            call_id=f'{own.call_id}.{number}',
            caller=self._engine.options.name,
            kind=rule.kind,
            importance=importance,
            rank=own.rank,
            timeout_ms=max(0, min(rule.timeout_ms, left_ms)),
            age_ms=own.age_ms + int(elapsed * _MS_PER_SECOND),
            attempt=own.attempt,
            trace_parent=own.trace_parent,
        )

    def _retry_bound_error(self) -> CallError:
        # Only a repeated request gets here, and an earlier attempt may have
        # run.
        return call_error(
            self.request_id,
            Outcome.FAILED,
            RefusalReason.RETRY_BOUND,
            _RETRY_BOUND_RETRY_AFTER_MS,
        )


def root_context(
    request_id: str,
    *,
    timeout_ms: int,
    attempt: int,
    age_ms: int,
) -> CallContext:
    """Return the context of a root request; rules set the importance."""
    return CallContext(
        request_id=request_id,
        call_id=request_id,
        importance=0,
        rank=rank_of(request_id),
        timeout_ms=timeout_ms,
        attempt=attempt,
        age_ms=age_ms,
    )
