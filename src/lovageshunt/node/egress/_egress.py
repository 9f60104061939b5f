"""HTTP listener for the calls of a target that does not embed the library."""

from asyncio import Task, create_task, wait
from collections.abc import Callable, Coroutine
from time import time
from typing import Any, Final

import orjson
from expression import Error, Ok, Result

from lovageshunt._record import Record
from lovageshunt.account import encode_snapshot
from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    AnswerInfo,
    Outcome,
    RefusalReason,
    encode_answer,
)
from lovageshunt.client import (
    Answer,
    AsgiScope,
    Engine,
    InboundRequest,
    ReadFailure,
    Receive,
    Send,
    call_error,
    read_inbound,
    respond,
    run_until_disconnect,
)
from lovageshunt.clock import now
from lovageshunt.errors import (
    CallError,
    CallFailedError,
    CallNotRunError,
)
from lovageshunt.idempotency import Ending
from lovageshunt.node.control._control import Control
from lovageshunt.node.egress._served_calls import ServedCall, ServedCalls
from lovageshunt.node.serving._http_boundary import HttpResponse, response_of
from lovageshunt.node.serving._target import end_to_end_headers

#: Maximum age of the snapshot of members and rules.
_VIEW_INTERVAL_SECONDS: Final = 0.2
#: Interval at which the account of the target's calls is stored.
_ACCOUNT_INTERVAL_SECONDS: Final = 10.0
#: Retry delay for a downstream call cancelled with the call above it.
_CANCELLED_RETRY_AFTER_MS: Final = 1000
_BAD_REQUEST_STATUS: Final = 400
_FORBIDDEN_STATUS: Final = 403
_NOT_FOUND_STATUS: Final = 404
_JSON: Final = (b'content-type', b'application/json')
_ANSWER_NAME: Final = ANSWER_HEADER.encode()

_Reply = Result[Answer, CallError]


class _Refusal(Record):
    """Why a request was refused; ``message`` names the remedy."""

    __slots__ = ('status', 'reason', 'message')

    def __init__(
        self,
        status: int,
        reason: RefusalReason,
        message: str,
    ) -> None:
        self.status = status
        self.reason = reason
        self.message = message


class Egress:
    """Makes calls for the target beside this node (an ASGI application).

    A request for ``/SERVICE/PATH`` must present the context header of a call
    that the target is serving. Without it the request would become a root
    request with an importance of its own choice and its own retry budget,
    so it is refused.
    """

    def __init__(
        self,
        *,
        control: Control,
        engine: Engine,
        served_calls: ServedCalls,
        called_services: tuple[str, ...],
        max_body_bytes: int,
        keep_account: Callable[[bytes], None],
    ) -> None:
        """Store the account of these calls by ``keep_account``."""
        self._control = control
        self._engine = engine
        self._served_calls = served_calls
        self._services = called_services
        self._max_body_bytes = max_body_bytes
        self._keep_account = keep_account
        self._view_at: float = 0
        self._account_at = now()

    async def __call__(
        self,
        scope: AsgiScope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one HTTP request of the target."""
        if scope['type'] != 'http':
            return
        reading = await read_inbound(scope, receive, self._max_body_bytes)
        if reading.is_error():
            if not reading.error.is_disconnected:
                await _refuse(send, _refusal_of(reading.error))
            return
        inbound = reading.ok
        found = self._find(inbound)
        if found.is_error():
            await _refuse(send, found.error)
            return
        self._refresh()
        pending_reply = self._call(found.ok, inbound)
        reply = await run_until_disconnect(receive, pending_reply)
        if reply is not None:
            await _answer(send, found.ok, reply)

    def _find(self, inbound: InboundRequest) -> Result[ServedCall, _Refusal]:
        header = inbound.headers.get(CONTEXT_HEADER)
        if header is None:
            return Error(
                _Refusal(
                    _BAD_REQUEST_STATUS,
                    RefusalReason.MALFORMED,
                    f'no {CONTEXT_HEADER} header; pass on the one of the '
                    'call that the target serves',
                ),
            )
        service, _ = _split(inbound.target)
        if service not in self._services:
            return Error(
                _Refusal(
                    _NOT_FOUND_STATUS,
                    RefusalReason.NO_TARGET,
                    f'{service!r} is not among the services that the target '
                    'calls; ask for /SERVICE/PATH and name it in [calls] '
                    'services',
                ),
            )
        served = self._served_calls.find(header)
        if served is None:
            return Error(
                _Refusal(
                    _FORBIDDEN_STATUS,
                    RefusalReason.FORBIDDEN,
                    f'the {CONTEXT_HEADER} header is that of no call which '
                    'the target serves now; pass it on as it came, before '
                    'the call is over',
                ),
            )
        return Ok(served)

    def _refresh(self) -> None:
        at = now()
        if at - self._view_at >= _VIEW_INTERVAL_SECONDS:
            self._view_at = at
            view = self._control.client_view(self._services)
            self._engine.adopt(view, at)
        if at - self._account_at >= _ACCOUNT_INTERVAL_SECONDS:
            self._account_at = at
            self._keep_account(
                encode_snapshot(self._engine.account.snapshot(time())),
            )

    async def _call(
        self, served: ServedCall, inbound: InboundRequest
    ) -> _Reply:
        service, path = _split(inbound.target)
        served.has_called = True
        pending_call = served.scope.call(
            service,
            inbound.method,
            path,
            body=inbound.body,
            headers=end_to_end_headers(inbound.headers),
        )
        reply = await _await_downstream(served, pending_call)
        if reply.is_error() and _outcome_of(reply.error) is Outcome.UNKNOWN:
            served.has_unknown = True
        return reply


def _refusal_of(failure: ReadFailure) -> _Refusal:
    return _Refusal(failure.status, RefusalReason.MALFORMED, failure.detail)


async def _await_downstream(
    served: ServedCall,
    pending_call: Coroutine[Any, Any, _Reply],
) -> _Reply:
    """Await a downstream call; it is cancelled with the served call."""
    task: Task[_Reply] = create_task(pending_call)
    served.tasks.add(task)
    try:
        await wait((task,))
    finally:
        task.cancel()
        served.tasks.discard(task)
    if not task.cancelled():
        return task.result()
    return Error(
        call_error(
            served.scope.request_id,
            Outcome.UNKNOWN,
            RefusalReason.CANCELLED,
            _CANCELLED_RETRY_AFTER_MS,
        ),
    )


async def _answer(send: Send, served: ServedCall, reply: _Reply) -> None:
    if reply.is_ok():
        response = _response_of_answer(reply.ok)
        ending = Ending(outcome=Outcome.ANSWERED)
        wait_ms = 0
    else:
        reason = RefusalReason(reply.error.reason)
        ending = Ending(outcome=_outcome_of(reply.error), reason=reason)
        wait_ms = reply.error.retry_after_ms
        response = response_of(served.scope.context, ending, wait_ms)
    # The id is that of the served call: a target that copies every header
    # into its own answer then makes no statement about another call.
    info = AnswerInfo(
        call_id=served.scope.call_id,
        outcome=ending.outcome,
        reason=ending.reason,
        retry_after_ms=wait_ms,
        body_length=len(response.body),
    )
    response.headers.append((_ANSWER_NAME, encode_answer(info).encode()))
    await respond(
        send,
        status=response.status,
        headers=response.headers,
        body=response.body,
    )


async def _refuse(send: Send, refusal: _Refusal) -> None:
    body = orjson.dumps(
        {
            'outcome': Outcome.NOT_RUN,
            'reason': refusal.reason,
            'message': refusal.message,
        },
    )
    await respond(send, status=refusal.status, headers=[_JSON], body=body)


def _response_of_answer(answer: Answer) -> HttpResponse:
    return HttpResponse(
        status=answer.status,
        headers=[
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in end_to_end_headers(answer.headers).items()
        ],
        body=answer.body,
    )


def _outcome_of(error: CallError) -> Outcome:
    if isinstance(error, CallNotRunError):
        return Outcome.NOT_RUN
    if isinstance(error, CallFailedError):
        return Outcome.FAILED
    return Outcome.UNKNOWN


def _split(target: str) -> tuple[str, str]:
    service, _, path = target.removeprefix('/').partition('/')
    return service, f'/{path}'
