"""The ASGI middleware that a target puts around its application."""

from asyncio import get_running_loop, timeout
from typing import Final

from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    AnswerInfo,
    Outcome,
    RefusalReason,
    decode_and_verify_context,
    encode_answer,
    rank_of,
)
from lovageshunt.client._asgi import (
    AsgiApp,
    AsgiMessage,
    AsgiScope,
    InboundRequest,
    Receive,
    Send,
    read_inbound,
    respond,
    run_until_disconnect,
)
from lovageshunt.client._client import Client
from lovageshunt.client._options import DEFAULT_BODY_BYTES
from lovageshunt.client._scope import CallScope
from lovageshunt.clock import now
from lovageshunt.errors import MalformedContextError

_SCOPE_KEY: Final = 'lovageshunt.scope'
_MIN_FAILURE_STATUS: Final = 500
_DEADLINE_STATUS: Final = 504
_DEADLINE_RETRY_AFTER_MS: Final = 1000
_DEFAULT_TIMEOUT_MS: Final = 60_000


class InboundCalls:
    """ASGI middleware that gives each request a ``CallScope``.

    The application gets it with ``scope_of``. The application is cancelled
    when the caller disconnects or the deadline passes. A request whose body
    exceeds ``max_body_bytes`` is answered with status 413 and never reaches
    the application.
    """

    def __init__(
        self,
        app: AsgiApp,
        client: Client,
        max_body_bytes: int = DEFAULT_BODY_BYTES,
    ) -> None:
        self._app = app
        self._client = client
        self._max_body_bytes = max_body_bytes

    async def __call__(
        self,
        scope: AsgiScope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one HTTP request; pass other connections on unchanged."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        read_result = await read_inbound(scope, receive, self._max_body_bytes)
        if read_result.is_error():
            if not read_result.error.is_disconnected:
                await respond(
                    send,
                    status=read_result.error.status,
                    headers=[],
                    body=b'',
                )
            return
        call_scope = _call_scope_of(self._client, read_result.ok)
        scope[_SCOPE_KEY] = call_scope
        sender = _ResponseSender(self._client, call_scope, send)
        served = self._serve(scope, read_result.ok, sender)
        await run_until_disconnect(receive, served)

    async def _serve(
        self,
        scope: AsgiScope,
        inbound: InboundRequest,
        sender: '_ResponseSender',
    ) -> None:
        replay = _BodyReplay(inbound.body)
        try:
            async with timeout(sender.call_scope.seconds_left):
                await self._app(scope, replay, sender)
        except TimeoutError:
            await sender.send_deadline_passed()


def scope_of(scope: AsgiScope) -> CallScope:
    """Return the call scope of a request that ``InboundCalls`` wrapped."""
    call_scope: CallScope = scope[_SCOPE_KEY]
    return call_scope


class _BodyReplay:
    """Passes the body, which was read already, to the application once."""

    __slots__ = ('_body', '_is_read')

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._is_read = False

    async def __call__(self) -> AsgiMessage:
        if self._is_read:
            # Wait forever: if the caller disconnects, the application is
            # cancelled. Returning at once would make an application that
            # listens for a disconnect spin.
            await get_running_loop().create_future()
        self._is_read = True
        return {'type': 'http.request', 'body': self._body}


class _ResponseSender:
    """Adds the control part to the application's response."""

    __slots__ = ('call_scope', '_client', '_send', '_is_started')

    def __init__(
        self, client: Client, call_scope: CallScope, send: Send
    ) -> None:
        self.call_scope = call_scope
        self._client = client
        self._send = send
        self._is_started = False

    async def __call__(self, message: AsgiMessage) -> None:
        if message['type'] == 'http.response.start':
            self._is_started = True
            encoded_info = encode_answer(
                self._response_info(message['status'])
            ).encode()
            header = (ANSWER_HEADER.encode(), encoded_info)
            message = {
                **message,
                'headers': [*message.get('headers', ()), header],
            }
        await self._send(message)

    async def send_deadline_passed(self) -> None:
        if self._is_started:
            # The response is truncated, which its reader detects by length.
            return
        self.call_scope.failure_info = AnswerInfo(
            call_id=self.call_scope.call_id,
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.DEADLINE,
            retry_after_ms=_DEADLINE_RETRY_AFTER_MS,
        )
        await respond(self, status=_DEADLINE_STATUS, headers=[], body=b'')

    def _response_info(self, status: int) -> AnswerInfo:
        info = self.call_scope.failure_info
        if info is None:
            is_success = status < _MIN_FAILURE_STATUS
            info = AnswerInfo(
                call_id=self.call_scope.call_id,
                outcome=Outcome.ANSWERED if is_success else Outcome.FAILED,
                reason=None if is_success else RefusalReason.TARGET_FAILED,
            )
        info.unspent = self.call_scope.unspent
        info.threshold_by_service = self._client.engine.thresholds.advertised(
            now(),
            self.call_scope.called_services,
        )
        return info


def _call_scope_of(client: Client, inbound: InboundRequest) -> CallScope:
    """Return the scope of a call.

    A call whose context is missing, malformed or not signed with the key is
    a root request: rules, not its caller, set its importance and retries.
    """
    try:
        context, is_known = decode_and_verify_context(
            inbound.headers.get(CONTEXT_HEADER, ''),
            client.engine.options.context_key,
        )
    except MalformedContextError:
        # Health checks and manual requests carry no context.
        return client.request(timeout_ms=_DEFAULT_TIMEOUT_MS)
    if is_known:
        return client.inner_scope(context)
    context.rank = rank_of(context.request_id)
    return CallScope(client.engine, context, is_root=True)
