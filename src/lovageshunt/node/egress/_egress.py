"""Calls of a target that does not embed the library, in any language."""

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
from lovageshunt.node.egress._below import CallBelow, CallsBelow
from lovageshunt.node.serving._border import Page, page_of
from lovageshunt.node.serving._target import forwardable

#: How long a picture of members and rules is used before it is taken anew.
_VIEW_SECONDS: Final = 0.2
_ACCOUNT_SECONDS: Final = 10.0
_ENDED_RETRY_MS: Final = 1000
_BAD_REQUEST_STATUS: Final = 400
_FORBIDDEN_STATUS: Final = 403
_NOT_FOUND_STATUS: Final = 404
_TOO_LARGE_STATUS: Final = 413
_JSON: Final = (b'content-type', b'application/json')
_ANSWER_NAME: Final = ANSWER_HEADER.encode()

_Reply = Result[Answer, CallError]


class _Refusal(Record):
    """Why a request was not taken, with its remedy."""

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
    """Makes the calls of the target beside this node.

    A request ``/SERVICE/PATH`` brings the context header of a call that the
    target serves right now. One without is refused: it would open a root
    request whose importance its caller chose, and retries of its own.
    """

    def __init__(
        self,
        *,
        control: Control,
        engine: Engine,
        below: CallsBelow,
        called_services: tuple[str, ...],
        max_body_bytes: int,
        keep_account: Callable[[bytes], None],
    ) -> None:
        """Take the parts; ``keep_account`` keeps the account of a caller."""
        self._control = control
        self._engine = engine
        self._below = below
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
        """Serve one request of the target."""
        if scope['type'] != 'http':
            return
        reading = await read_inbound(scope, receive, self._max_body_bytes)
        if reading.is_error():
            if not reading.error.is_disconnected:
                await _refuse(send, self._too_large())
            return
        inbound = reading.ok
        found = self._find(inbound)
        if found.is_error():
            await _refuse(send, found.error)
            return
        self._refresh()
        calling = self._call(found.ok, inbound)
        reply = await run_until_disconnect(receive, calling)
        if reply is not None:
            await _answer(send, found.ok, reply)

    def _find(self, inbound: InboundRequest) -> Result[CallBelow, _Refusal]:
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
        below = self._below.find(header)
        if below is None:
            return Error(
                _Refusal(
                    _FORBIDDEN_STATUS,
                    RefusalReason.FORBIDDEN,
                    f'the {CONTEXT_HEADER} header is that of no call which '
                    'the target serves now; pass it on as it came, before '
                    'the call is over',
                ),
            )
        return Ok(below)

    def _refresh(self) -> None:
        at = now()
        if at - self._view_at >= _VIEW_SECONDS:
            self._view_at = at
            view = self._control.client_view(self._services)
            self._engine.adopt(view, at)
        if at - self._account_at >= _ACCOUNT_SECONDS:
            self._account_at = at
            self._keep_account(
                encode_snapshot(self._engine.account.snapshot(time())),
            )

    async def _call(self, below: CallBelow, inbound: InboundRequest) -> _Reply:
        service, path = _split(inbound.target)
        below.has_called = True
        making = below.scope.call(
            service,
            inbound.method,
            path,
            body=inbound.body,
            headers=forwardable(inbound.headers),
        )
        reply = await _until_over(below, making)
        if reply.is_error() and _outcome_of(reply.error) is Outcome.UNKNOWN:
            below.has_unknown = True
        return reply

    def _too_large(self) -> _Refusal:
        return _Refusal(
            _TOO_LARGE_STATUS,
            RefusalReason.MALFORMED,
            f'the body is over {self._max_body_bytes} bytes; send less, or '
            'raise [limits] body_bytes',
        )


async def _until_over(
    below: CallBelow,
    making: Coroutine[Any, Any, _Reply],
) -> _Reply:
    """Wait for a call below; it is cancelled with the call above it."""
    task: Task[_Reply] = create_task(making)
    below.tasks.add(task)
    try:
        await wait((task,))
    finally:
        task.cancel()
        below.tasks.discard(task)
    if not task.cancelled():
        return task.result()
    return Error(
        call_error(
            below.scope.request_id,
            Outcome.UNKNOWN,
            RefusalReason.CANCELLED,
            _ENDED_RETRY_MS,
        ),
    )


async def _answer(send: Send, below: CallBelow, reply: _Reply) -> None:
    if reply.is_ok():
        page = _page_of_answer(reply.ok)
        ending = Ending(outcome=Outcome.ANSWERED)
        wait_ms = 0
    else:
        reason = RefusalReason(reply.error.reason)
        ending = Ending(outcome=_outcome_of(reply.error), reason=reason)
        wait_ms = reply.error.retry_after_ms
        page = page_of(below.scope.context, ending, wait_ms)
    # The id is that of the call above, so that a target which copies every
    # header into its own answer states nothing about another call.
    said = AnswerInfo(
        call_id=below.scope.call_id,
        outcome=ending.outcome,
        reason=ending.reason,
        retry_after_ms=wait_ms,
        body_length=len(page.body),
    )
    page.headers.append((_ANSWER_NAME, encode_answer(said).encode()))
    await respond(
        send,
        status=page.status,
        headers=page.headers,
        body=page.body,
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


def _page_of_answer(answer: Answer) -> Page:
    return Page(
        status=answer.status,
        headers=[
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in forwardable(answer.headers).items()
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
