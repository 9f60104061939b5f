"""``InboundCalls``, called as an ASGI server would call it."""

import asyncio

from expression import Ok
from starlette.responses import Response, StreamingResponse

from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    CallContext,
    Outcome,
    RefusalReason,
    decode_answer,
    encode_context,
)
from lovageshunt.client import Client, ClientOptions, InboundCalls, scope_of
from lovageshunt.errors import CallFailedError, CallUnknownError
from tests.client.fakes import FakeNodes, client_of

_CALL_ID = 'r1.4'


class Caller:
    """Sends one request to an application.

    Setting ``disconnect`` makes it disconnect. ``fields`` override those of
    its context.
    """

    def __init__(self, body=b'', **fields):
        context = {
            'request_id': 'r1',
            'call_id': _CALL_ID,
            'importance': 1,
            'rank': 5,
            'timeout_ms': 5000,
            **fields,
        }
        header = encode_context(CallContext(**context)).encode()
        self.headers = [(CONTEXT_HEADER.encode(), header)]
        self.disconnect = asyncio.Event()
        self.sent = []
        self._body = [body]

    async def ask(self, app, client=None, max_body_bytes=100):
        """Send the request through ``InboundCalls``."""
        scope = {
            'type': 'http',
            'method': 'GET',
            'path': '/',
            'query_string': b'',
            'headers': self.headers,
        }
        wrapped = InboundCalls(app, client or idle_client(), max_body_bytes)
        await wrapped(scope, self._receive, self._send)

    @property
    def status(self):
        return self.sent[0]['status']

    @property
    def info(self):
        """The control part of the answer."""
        headers = dict(self.sent[0]['headers'])
        return decode_answer(headers[ANSWER_HEADER.encode()], _CALL_ID)

    async def _receive(self):
        if self._body:
            return {'type': 'http.request', 'body': self._body.pop()}
        await self.disconnect.wait()
        return {'type': 'http.disconnect'}

    async def _send(self, message):
        self.sent.append(message)


class Hanging:
    """An application that never answers and records its cancellation."""

    def __init__(self):
        self.started = asyncio.Event()
        self.was_cancelled = False

    async def __call__(self, scope, receive, send):
        self.started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise


def idle_client():
    """Return a client without seeds or services."""
    return Client(
        ClientOptions(name='t', failure_domain='a', seeds=(), services=()),
    )


class TestAnswer:
    """The control part that ``InboundCalls`` adds."""

    async def test_answered(self):
        """An answer states its call and returns all unused retries."""
        caller = Caller(retries_left=3)
        await caller.ask(Response(b'whole'))
        assert caller.info.outcome is Outcome.ANSWERED
        assert caller.info.unspent == 3

    async def test_failed(self):
        """Status 500 is reported as a failure of the target."""
        caller = Caller()
        await caller.ask(Response(status_code=500))
        assert caller.info.outcome is Outcome.FAILED
        assert caller.info.reason is RefusalReason.TARGET_FAILED

    async def test_failure_below_is_never_not_run(self):
        """A target that ran reports *failed* or *unknown*."""
        for error, outcome in (
            (CallFailedError('r1', 'overload', 9), Outcome.FAILED),
            (CallUnknownError('r1', 'in_doubt', 9), Outcome.UNKNOWN),
        ):
            caller = Caller()
            await caller.ask(failing_with(error))
            assert caller.info.outcome is outcome
            assert caller.info.retry_after_ms == 9

    async def test_no_context(self):
        """A request without a context is served."""
        caller = Caller()
        caller.headers = []
        await caller.ask(Response(b'ok'))
        assert caller.status == 200

    async def test_too_large(self):
        """A body above the limit is refused before the application runs."""
        caller = Caller(b'x' * 101)
        hanging = Hanging()
        await caller.ask(hanging)
        assert caller.status == 413
        assert not hanging.started.is_set()


class TestReceive:
    """What the application receives."""

    async def test_body(self):
        """The application receives the body that ``InboundCalls`` read."""

        async def echo(scope, receive, send):
            message = await receive()
            await Response(message['body'])(scope, receive, send)

        caller = Caller(b'question')
        await caller.ask(echo)
        assert caller.sent[1]['body'] == b'question'

    async def test_nothing_after_the_body(self):
        """Waiting for a disconnect does not block the event loop."""

        async def parts():
            yield b'one'
            await asyncio.sleep(0)
            yield b'two'

        async def stream(scope, receive, send):
            await receive()
            listening = asyncio.ensure_future(receive())
            await asyncio.sleep(0)
            assert not listening.done()
            listening.cancel()
            await StreamingResponse(parts())(scope, receive, send)

        caller = Caller()
        await asyncio.wait_for(caller.ask(stream), 5)
        bodies = [message.get('body') for message in caller.sent[1:]]
        assert bodies == [b'one', b'two', b'']


class TestTime:
    """Deadlines and callers that disconnect."""

    async def test_deadline(self):
        """At the deadline work is cancelled and reported as *unknown*."""
        caller = Caller(timeout_ms=5)
        hanging = Hanging()
        await caller.ask(hanging)
        assert hanging.was_cancelled
        assert caller.info.outcome is Outcome.UNKNOWN
        assert caller.info.reason is RefusalReason.DEADLINE

    async def test_caller_disconnects(self):
        """Work for a caller that disconnected is cancelled, not answered."""
        caller = Caller()
        hanging = Hanging()
        asking = asyncio.create_task(caller.ask(hanging))
        await hanging.started.wait()
        caller.disconnect.set()
        await asking
        assert hanging.was_cancelled
        assert not caller.sent

    async def test_deadline_cancels_below(self):
        """A call below is cancelled when the target's deadline passes."""
        nodes = FakeNodes()
        caller = Caller(timeout_ms=100)
        async with client_of(nodes) as client:
            await caller.ask(calling_below, client)
            await asyncio.wait_for(nodes.disconnected.wait(), 5)

    async def test_caller_disconnect_cancels_below(self):
        """A call below is cancelled when the target's caller disconnects."""
        nodes = FakeNodes()
        caller = Caller(timeout_ms=60_000)
        async with client_of(nodes, timeout_ms=60_000) as client:
            asking = asyncio.create_task(caller.ask(calling_below, client))
            while not nodes.received_calls:
                await asyncio.sleep(0.01)
            caller.disconnect.set()
            await asyncio.wait_for(nodes.disconnected.wait(), 5)
            await asking


async def calling_below(scope, receive, send):
    """Serve a request by making one call."""
    reply = await scope_of(scope).call('payments', 'GET', '/')
    response = Response(reply.default_with(lambda _: Ok(b'none')))
    await response(scope, receive, send)


def failing_with(error):
    """Return an application whose call failed with this error."""

    async def fail(scope, receive, send):
        response = scope_of(scope).failure_response(error)
        await response(scope, receive, send)

    return fail
