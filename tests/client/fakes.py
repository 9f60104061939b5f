"""A fake node: an ASGI application that answers as a test specifies."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, contextmanager

import uvicorn

from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    AnswerInfo,
    CallContext,
    Outcome,
    RefusalReason,
    decode_context,
    encode_answer,
)
from lovageshunt.client import (
    Client,
    ClientOptions,
    View,
    read_inbound,
    respond,
)
from lovageshunt.clock import now
from lovageshunt.routing import RouteMember
from lovageshunt.rules import KindRule, ServiceRules

_MAX_BYTES = 10_000


class ReceivedCall:
    """A call that a fake node received."""

    def __init__(self, node, context: CallContext, send):
        self.node = node
        self.context = context
        self._send = send

    async def answer(self, body=b'whole', **info):
        """Answer the call; ``info`` overrides fields of its control part."""
        fields = {
            'call_id': self.context.call_id,
            'outcome': Outcome.ANSWERED,
            'body_length': len(body),
            **info,
        }
        header = encode_answer(AnswerInfo(**fields)).encode()
        await respond(
            self._send,
            status=200,
            headers=[(ANSWER_HEADER.encode(), header)],
            body=body,
        )

    async def refuse(self, outcome: Outcome, reason: RefusalReason, **info):
        """Answer with a refusal that returns all retries of the call."""
        await self.answer(
            b'',
            outcome=outcome,
            reason=reason,
            **{
                'retry_after_ms': 700,
                'unspent': self.context.retries_left,
                **info,
            },
        )


class FakeNodes:
    """The nodes of one service, which all run ``serve`` for each call.

    By default a call hangs until ``release``. ``disconnected`` is set when a
    caller disconnects.
    """

    def __init__(
        self, serve: Callable[[ReceivedCall], Awaitable[None]] | None = None
    ):
        self._serve = serve or self.hang
        self.received_calls: list[ReceivedCall] = []
        self.members: list[RouteMember] = []
        self.disconnected = asyncio.Event()
        self._released = asyncio.Event()

    async def __call__(self, scope, receive, send):
        """Serve one call as the node that listens on its port."""
        inbound = (await read_inbound(scope, receive, _MAX_BYTES)).ok
        context = decode_context(inbound.headers[CONTEXT_HEADER])
        received = ReceivedCall(f'n{scope["server"][1]}', context, send)
        self.received_calls.append(received)
        watcher = asyncio.create_task(self._watch(receive))
        try:
            await self._serve(received)
        finally:
            watcher.cancel()

    async def hang(self, received):
        """Send no answer until ``release`` is called."""
        await self._released.wait()

    def release(self):
        """End the hanging calls."""
        self._released.set()

    async def _watch(self, receive):
        message = await receive()
        if message['type'] == 'http.disconnect':
            self.disconnected.set()


class SignalFreeServer(uvicorn.Server):
    """A server that handles no signals and stops when ``stopping`` is set."""

    def __init__(self, config):
        super().__init__(config)
        self.stopping = asyncio.Event()

    @contextmanager
    def capture_signals(self):
        """Leave the signal handlers unchanged."""
        yield

    async def main_loop(self):
        """Wait for ``stopping``."""
        await self.stopping.wait()


@asynccontextmanager
async def served(app, count=1):
    """Serve an application on ``count`` loopback ports; yield the ports."""
    config = uvicorn.Config(
        app,
        lifespan='off',
        log_config=None,
        timeout_graceful_shutdown=1,
    )
    server = SignalFreeServer(config)
    sockets = [_listening_socket() for _ in range(count)]
    serving = asyncio.create_task(server.serve(sockets))
    try:
        yield [listener.getsockname()[1] for listener in sockets]
    finally:
        server.stopping.set()
        await serving


@asynccontextmanager
async def client_of(nodes: FakeNodes, *, count=2, **rule):
    """Yield a client that knows ``count`` fake nodes of one service."""
    async with served(nodes, max(1, count)) as ports:
        nodes.members = [_member(port) for port in ports[:count]]
        client = Client(
            ClientOptions(
                name='kiosk',
                failure_domain='a',
                seeds=(),
                services=(),
            ),
        )
        await client.start()
        client.engine.adopt(_view(nodes, rule), now())
        try:
            yield client
        finally:
            nodes.release()
            await client.close()


def _listening_socket():
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    return listener


def _member(port):
    return RouteMember(
        node=f'n{port}',
        service='payments',
        failure_domain='a',
        region='default',
        address=f'127.0.0.1:{port}',
        incarnation=f'life-of-n{port}',
    )


def _view(nodes, rule):
    fields = {
        'service': 'payments',
        'kind': 'some',
        'method': '*',
        'path': '/',
        'importance': 1,
        'is_repeatable': True,
        'timeout_ms': 5000,
        'retry_bound': 4,
        **rule,
    }
    return View(
        generation=1,
        rules_by_service={
            'payments': ServiceRules(
                service='payments',
                by_kind={'some': KindRule(**fields)},
            ),
        },
        members_by_service={'payments': nodes.members},
    )
