"""The ASGI wrapper that a target puts around its application."""

from asyncio import get_running_loop, timeout
from typing import Final

from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    AnswerInfo,
    Outcome,
    RefusalReason,
    decode_known_context,
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
_FIRST_FAILURE_STATUS: Final = 500
_TOO_LARGE_STATUS: Final = 413
_LATE_STATUS: Final = 504
_LATE_RETRY_MS: Final = 1000
_UNSTATED_TIMEOUT_MS: Final = 60_000


class InboundCalls:
    """Gives each request its scope and keeps to deadline and cancellation.

    The application finds it with ``scope_of``. Its work is cancelled
    when the caller goes away or the deadline passes.
    """

    def __init__(
        self,
        app: AsgiApp,
        client: Client,
        max_body_bytes: int = DEFAULT_BODY_BYTES,
    ) -> None:
        """Wrap an application."""
        self._app = app
        self._client = client
        self._max_body_bytes = max_body_bytes

    async def __call__(
        self,
        scope: AsgiScope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        reading = await read_inbound(scope, receive, self._max_body_bytes)
        if reading.is_error():
            if not reading.error.is_disconnected:
                await respond(
                    send,
                    status=_TOO_LARGE_STATUS,
                    headers=[],
                    body=b'',
                )
            return
        calls = _calls_of(self._client, reading.ok)
        scope[_SCOPE_KEY] = calls
        answering = _Answering(self._client, calls, send)
        served = self._serve(scope, reading.ok, answering)
        await run_until_disconnect(receive, served)

    async def _serve(
        self,
        scope: AsgiScope,
        inbound: InboundRequest,
        answering: '_Answering',
    ) -> None:
        replay = _Replay(inbound.body)
        try:
            async with timeout(answering.calls.seconds_left):
                await self._app(scope, replay, answering)
        except TimeoutError:
            await answering.send_late()


def scope_of(scope: AsgiScope) -> CallScope:
    """Return the calls of the request that an application is serving."""
    calls: CallScope = scope[_SCOPE_KEY]
    return calls


class _Replay:
    """Gives the application the body that was read already, once."""

    __slots__ = ('_body', '_is_read')

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._is_read = False

    async def __call__(self) -> AsgiMessage:
        if self._is_read:
            # Nothing follows: when the caller goes away, the application is
            # cancelled. An answer at once would let its listener spin.
            await get_running_loop().create_future()
        self._is_read = True
        return {'type': 'http.request', 'body': self._body}


class _Answering:
    """Adds the control part to the application's answer."""

    __slots__ = ('calls', '_client', '_send', '_has_begun')

    def __init__(self, client: Client, calls: CallScope, send: Send) -> None:
        self.calls = calls
        self._client = client
        self._send = send
        self._has_begun = False

    async def __call__(self, message: AsgiMessage) -> None:
        if message['type'] == 'http.response.start':
            self._has_begun = True
            said = encode_answer(self._said(message['status'])).encode()
            header = (ANSWER_HEADER.encode(), said)
            message = {
                **message,
                'headers': [*message.get('headers', ()), header],
            }
        await self._send(message)

    async def send_late(self) -> None:
        if self._has_begun:
            # The answer is cut, which its reader notices by its length.
            return
        self.calls.stated = AnswerInfo(
            call_id=self.calls.call_id,
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.DEADLINE,
            retry_after_ms=_LATE_RETRY_MS,
        )
        await respond(self, status=_LATE_STATUS, headers=[], body=b'')

    def _said(self, status: int) -> AnswerInfo:
        said = self.calls.stated
        if said is None:
            is_good = status < _FIRST_FAILURE_STATUS
            said = AnswerInfo(
                call_id=self.calls.call_id,
                outcome=Outcome.ANSWERED if is_good else Outcome.FAILED,
                reason=None if is_good else RefusalReason.TARGET_FAILED,
            )
        said.unspent = self.calls.unspent
        said.threshold_by_service = self._client.engine.thresholds.advertised(
            now(),
            self.calls.called_services,
        )
        return said


def _calls_of(client: Client, inbound: InboundRequest) -> CallScope:
    """Return the scope of a call; one that nobody vouches for is a root.

    A root has the importance and the retries of the rules.
    """
    try:
        context, is_known = decode_known_context(
            inbound.headers.get(CONTEXT_HEADER, ''),
            client.engine.options.context_key,
        )
    except MalformedContextError:
        # Health checks and people call without a context.
        return client.request(timeout_ms=_UNSTATED_TIMEOUT_MS)
    if is_known:
        return client.inner_scope(context)
    context.rank = rank_of(context.request_id)
    return CallScope(client.engine, context, is_root=True)
