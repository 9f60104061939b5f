"""The ingress: passes calls through the gate and sends the responses.

It is a plain ASGI application, because each extra layer costs every call.
"""

from asyncio import get_running_loop
from collections.abc import Callable
from typing import Final

from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    AnswerInfo,
    ContextKey,
    Outcome,
    RefusalReason,
    encode_answer,
)
from lovageshunt.client import (
    ACCOUNT_PATH,
    VIEW_PATH,
    AsgiScope,
    InboundRequest,
    Receive,
    Send,
    encode_view,
    read_inbound,
    respond,
    run_until_disconnect,
)
from lovageshunt.clock import now
from lovageshunt.errors import MalformedSnapshotError
from lovageshunt.idempotency import Ending
from lovageshunt.node.control._control import Control
from lovageshunt.node.gate._gate import Gate
from lovageshunt.node.gate._messages import CallArrived, Reply
from lovageshunt.node.serving._call import CallInProgress
from lovageshunt.node.serving._call_meter import CallMeter
from lovageshunt.node.serving._calls import Calls
from lovageshunt.node.serving._http_boundary import (
    ParsedCall,
    fingerprint_of,
    parse_call,
    refusal_body,
    reportable_ending,
    response_of,
)
from lovageshunt.rules import KindRule

_MS_PER_SECOND: Final = 1000
_BAD_REQUEST_STATUS: Final = 400
_RETRY_BOUND_STATUS: Final = 429
_OK_STATUS: Final = 200
_REJECTED_RETRY_AFTER_MS: Final = 5000
_CONTEXT_NAME: Final = CONTEXT_HEADER.encode()
_ANSWER_NAME: Final = ANSWER_HEADER.encode()
_JSON: Final = (b'content-type', b'application/json')


class Ingress:
    """Serves calls, and members and rules to callers that embed the library.

    ``check_for_pause`` detects a pause of the process before a decision;
    ``keep_account`` stores the account snapshot of a caller. ``calls_below``
    states whether the target calls other services. With ``key``, contexts
    must be signed with it to be trusted.
    """

    def __init__(
        self,
        *,
        control: Control,
        gate: Gate,
        calls: Calls,
        meter: CallMeter,
        max_body_bytes: int,
        check_for_pause: Callable[[], None],
        keep_account: Callable[[bytes], None],
        calls_below: bool,
        key: ContextKey | None,
    ) -> None:
        self._check_for_pause = check_for_pause
        self._keep_account = keep_account
        self._calls_below = calls_below
        self._key = key
        self._control = control
        self._gate = gate
        self._calls = calls
        self._meter = meter
        self._max_body_bytes = max_body_bytes
        self._service = control.identity.service

    async def __call__(
        self,
        scope: AsgiScope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one ASGI request; ignores other scopes than HTTP."""
        if scope['type'] != 'http':
            return
        if scope['path'] == VIEW_PATH:
            await self._send_view(scope, send)
            return
        result = await read_inbound(scope, receive, self._max_body_bytes)
        if result.is_ok() and result.ok.path == ACCOUNT_PATH:
            await self._accept_account(result.ok, send)
        elif result.is_ok():
            await self._serve(scope, result.ok, receive, send)
        elif not result.error.is_disconnected:
            await self._reject(
                self._rule_of(scope['method'], scope['path']),
                send,
                reason=RefusalReason.MALFORMED,
                status=result.error.status,
                is_external=_is_external(scope),
            )

    async def _serve(
        self,
        scope: AsgiScope,
        inbound: InboundRequest,
        receive: Receive,
        send: Send,
    ) -> None:
        rule = self._rule_of(inbound.method, inbound.path)
        parsed = parse_call(inbound, rule, self._key)
        if parsed.is_error():
            is_bound = parsed.error is RefusalReason.RETRY_BOUND
            status = _RETRY_BOUND_STATUS if is_bound else _BAD_REQUEST_STATUS
            await self._reject(
                rule,
                send,
                reason=parsed.error,
                status=status,
                is_external=_is_external(scope),
            )
            return
        call = self._track_call(inbound, parsed.ok)
        if call.reply is None:
            waiting = self._wait(call)
            if await run_until_disconnect(receive, waiting) is None:
                self._calls.abandon(call, RefusalReason.CANCELLED)
                return
        await self._answer(call, _reply_of(call), send)

    def _rule_of(self, method: str, path: str) -> KindRule:
        return self._control.rules.kind_for(self._service, method, path)

    async def _reject(
        self,
        rule: KindRule,
        send: Send,
        *,
        reason: RefusalReason,
        status: int,
        is_external: bool,
    ) -> None:
        ending = Ending(outcome=Outcome.NOT_RUN, reason=reason)
        if reason is RefusalReason.RETRY_BOUND:
            ending = Ending(outcome=Outcome.FAILED, reason=reason)
        self._meter.rejected(
            rule,
            ending.outcome,
            reason,
            is_external=is_external,
        )
        seconds = str(_REJECTED_RETRY_AFTER_MS // _MS_PER_SECOND).encode()
        await respond(
            send,
            status=status,
            headers=[_JSON, (b'retry-after', seconds)],
            body=refusal_body('', ending, _REJECTED_RETRY_AFTER_MS),
        )

    def _track_call(
        self, inbound: InboundRequest, parsed: ParsedCall
    ) -> CallInProgress:
        self._check_for_pause()
        at = now()
        call = self._calls.track(
            inbound,
            parsed,
            self._meter.arrived(parsed),
            arrived_at=at,
            deadline=at + parsed.context.timeout_ms / _MS_PER_SECOND,
        )
        self._calls.handle(self._arrival_event(call))
        return call

    def _arrival_event(self, call: CallInProgress) -> CallArrived:
        peers = self._control.fleet.peers
        is_repeatable = call.parsed.rule.is_repeatable
        # Only the run-once table uses the list of removed peers.
        gone = () if is_repeatable else peers.gone(call.arrived_at)
        return CallArrived(
            ticket=call.ticket,
            context=call.parsed.context,
            is_repeatable=is_repeatable,
            fingerprint=fingerprint_of(call.inbound, call.parsed),
            deadline=call.deadline,
            peers=peers.peers,
            gone=gone,
        )

    async def _wait(self, call: CallInProgress) -> bool:
        timer = get_running_loop().call_later(
            max(0, call.deadline - now()),
            self._calls.abandon,
            call,
            RefusalReason.DEADLINE,
        )
        try:
            await call.replied
        finally:
            timer.cancel()
        return True

    async def _answer(
        self,
        call: CallInProgress,
        reply: Reply,
        send: Send,
    ) -> None:
        ending = reportable_ending(call.parsed, reply.ending)
        is_answered = ending.outcome is Outcome.ANSWERED
        wait_ms = 0 if is_answered else reply.retry_after_ms
        response = response_of(call.parsed.context, ending, wait_ms)
        answer_info = self._answer_info(
            call, ending, wait_ms, len(response.body)
        )
        response.headers.append(
            (_ANSWER_NAME, encode_answer(answer_info).encode())
        )
        await respond(
            send,
            status=response.status,
            headers=response.headers,
            body=response.body,
        )

    def _answer_info(
        self,
        call: CallInProgress,
        ending: Ending,
        wait_ms: int,
        body_length: int,
    ) -> AnswerInfo:
        context = call.parsed.context
        return AnswerInfo(
            call_id=context.call_id,
            outcome=ending.outcome,
            reason=ending.reason,
            retry_after_ms=wait_ms,
            unspent=_unspent(call),
            threshold_by_service=self._thresholds(call),
            load=self._gate.load(),
            home=context.home,
            body_length=body_length,
            suspicion=_suspicion(call),
            calls_below=self._calls_below,
        )

    def _thresholds(self, call: CallInProgress) -> dict[str, int]:
        """Return the thresholds of the services that the call involved."""
        reply = call.target_reply
        asked = None
        if reply is not None and reply.info is not None:
            asked = reply.info.threshold_by_service
        kind = call.parsed.context.kind
        return self._gate.threshold_by_service(kind, asked, now())

    async def _accept_account(
        self, inbound: InboundRequest, send: Send
    ) -> None:
        try:
            self._keep_account(inbound.body)
        except MalformedSnapshotError as error:
            await respond(
                send,
                status=_BAD_REQUEST_STATUS,
                headers=[],
                body=str(error).encode(),
            )
            return
        await respond(send, status=_OK_STATUS, headers=[], body=b'')

    async def _send_view(self, scope: AsgiScope, send: Send) -> None:
        query = scope.get('query_string', b'').decode('latin-1')
        listed = query.removeprefix('services=')
        services = tuple(name for name in listed.split(',') if name)
        view = encode_view(self._control.client_view(services))
        await respond(send, status=_OK_STATUS, headers=[_JSON], body=view)


def _is_external(scope: AsgiScope) -> bool:
    return all(name != _CONTEXT_NAME for name, _ in scope['headers'])


def _reply_of(call: CallInProgress) -> Reply:
    if call.reply is None:
        raise RuntimeError('call ended without a reply from the gate')
    return call.reply


def _unspent(call: CallInProgress) -> int:
    reply = call.target_reply
    if reply is None:
        # A call that was not forwarded used none of its retries.
        is_sent = call.forwarded_at is not None
        return 0 if is_sent else call.parsed.context.retries_left
    return 0 if reply.info is None else reply.info.unspent


def _suspicion(call: CallInProgress) -> int:
    reply = call.target_reply
    was_disconnected = reply is not None and reply.was_disconnected
    return call.parsed.context.suspicion + was_disconnected
