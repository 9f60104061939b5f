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
_BOUND_RETRY_MS: Final = 5000
_FAILED_STATUS: Final = 502
_UNKNOWN_STATUS: Final = 504


class CallScope:
    """One request at one hop, and the calls made for it.

    Calls inherit the request's importance and rank, what is left of its
    time, and shares of its retries.
    """

    def __init__(
        self,
        engine: Engine,
        context: CallContext,
        *,
        is_root: bool,
    ) -> None:
        """Begin now; the time left counts from here."""
        self._engine = engine
        self._context = context
        self._is_root = is_root
        self._began_at = now()
        self._pool: AllowancePool | None = None
        if not is_root:
            self._pool = AllowancePool(context.retries_left)
        self._calls = 0
        self._answered: list[KindRule] = []
        #: The services that were called for this request at this hop.
        self.called_services: set[str] = set()
        #: The outcome that the hop's own answer must state, if not answered.
        self.stated: AnswerInfo | None = None

    @property
    def context(self) -> CallContext:
        """Return the context that the request came with."""
        return self._context

    @property
    def request_id(self) -> str:
        """Return the id of the root request."""
        return self._context.request_id

    @property
    def call_id(self) -> str:
        """Return the id of the call that this hop serves."""
        return self._context.call_id

    @property
    def unspent(self) -> int:
        """Return the retries that this hop's answer gives back."""
        return self._pool.unspent if self._pool else 0

    @property
    def seconds_left(self) -> float:
        """Return how much of the request's time is left."""
        elapsed = now() - self._began_at
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
        """Make one call and return its whole answer or typed failure."""
        call = Call(
            service=service,
            method=method,
            path=path,
            body=body,
            headers=headers,
        )
        pool = self._pool_for(call)
        if pool is None:
            return Error(self._beyond_bound())
        return await self._run(call, pool)

    async def call_all(
        self,
        calls: list[Call],
    ) -> list[Result[Answer, CallError]]:
        """Make calls at once; their retries are divided before they start."""
        whole = self._pool_for(calls[0]) if calls else None
        if whole is None:
            return [Error(self._beyond_bound()) for _ in calls]
        pools = [AllowancePool(share) for share in whole.shares(len(calls))]
        replies = await gather(
            *(
                self._run(call, pool)
                for call, pool in zip(calls, pools, strict=True)
            ),
        )
        for pool in pools:
            whole.give_back(share=pool.unspent, unspent=pool.unspent)
        return list(replies)

    def failure_response(self, error: CallError) -> Response:
        """Return what this hop answers when a call it needs has failed.

        The hop has run itself, so the outcome is never *not run*.
        """
        self._count_wasted()
        is_unknown = isinstance(error, CallUnknownError)
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.FAILED
        self.stated = AnswerInfo(
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
        self._calls += 1
        self.called_services.add(call.service)
        context = self._call_context(rule, self._calls)
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
        """Count what was answered for a request that fails now."""
        for rule in self._answered:
            self._engine.account.wasted(
                rule.service,
                rule.kind,
                self._context.importance,
            )

    def _pool_for(self, call: Call) -> AllowancePool | None:
        """Return the request's pool; a root's is that of its first call."""
        if self._pool is None:
            rule = self._rule_for(call)
            share = allowance_for(rule.retry_bound, self._context.attempt)
            if share is not None:
                self._pool = AllowancePool(share.retries)
            elif not rule.is_repeatable:
                # It cannot run again, so this attempt only asks how it ended.
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
        elapsed = now() - self._began_at
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

    def _beyond_bound(self) -> CallError:
        # Only a repeated request gets here, and what was tried may have run.
        return call_error(
            self.request_id,
            Outcome.FAILED,
            RefusalReason.RETRY_BOUND,
            _BOUND_RETRY_MS,
        )


def root_context(
    request_id: str,
    *,
    timeout_ms: int,
    attempt: int,
    age_ms: int,
) -> CallContext:
    """Return the context of a root request as its caller makes it."""
    return CallContext(
        request_id=request_id,
        call_id=request_id,
        importance=0,
        rank=rank_of(request_id),
        timeout_ms=timeout_ms,
        attempt=attempt,
        age_ms=age_ms,
    )
