"""A small fake node: an ASGI application that answers as a test says."""

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


class Arrival:
    """A call that reached a fake node, and its two ways to answer."""

    def __init__(self, node, context: CallContext, send):
        """Take the node's name and the call's context."""
        self.node = node
        self.context = context
        self._send = send

    async def answer(self, body=b'whole', **said):
        """Answer the call; ``said`` overrides its control part."""
        fields = {
            'call_id': self.context.call_id,
            'outcome': Outcome.ANSWERED,
            'body_length': len(body),
            **said,
        }
        header = encode_answer(AnswerInfo(**fields)).encode()
        await respond(
            self._send,
            status=200,
            headers=[(ANSWER_HEADER.encode(), header)],
            body=body,
        )

    async def refuse(self, outcome: Outcome, reason: RefusalReason, **said):
        """Refuse the call."""
        await self.answer(
            b'',
            outcome=outcome,
            reason=reason,
            **{
                'retry_after_ms': 700,
                'unspent': self.context.retries_left,
                **said,
            },
        )


class FakeNodes:
    """The nodes of one service; one function says what they do."""

    def __init__(
        self, serve: Callable[[Arrival], Awaitable[None]] | None = None
    ):
        """Take what is done about each call; by default it hangs."""
        self._serve = serve or self.hang
        self.arrivals: list[Arrival] = []
        self.members: list[RouteMember] = []
        self.gone = asyncio.Event()
        self._released = asyncio.Event()

    async def __call__(self, scope, receive, send):
        """Serve one call at the node of the port that it came to."""
        inbound = (await read_inbound(scope, receive, _MAX_BYTES)).ok
        context = decode_context(inbound.headers[CONTEXT_HEADER])
        arrival = Arrival(f'n{scope["server"][1]}', context, send)
        self.arrivals.append(arrival)
        watcher = asyncio.create_task(self._watch(receive))
        try:
            await self._serve(arrival)
        finally:
            watcher.cancel()

    async def hang(self, arrival):
        """Give no answer until the test is over."""
        await self._released.wait()

    def release(self):
        """End the calls that hang."""
        self._released.set()

    async def _watch(self, receive):
        message = await receive()
        if message['type'] == 'http.disconnect':
            self.gone.set()


class QuietServer(uvicorn.Server):
    """A server that leaves signals alone and ends when it is told."""

    def __init__(self, config):
        """Begin without an order to end."""
        super().__init__(config)
        self.ending = asyncio.Event()

    @contextmanager
    def capture_signals(self):
        """Capture none."""
        yield

    async def main_loop(self):
        """Wait for the order."""
        await self.ending.wait()


@asynccontextmanager
async def served(app, count=1):
    """Serve an application on some ports of loopback; yield the ports."""
    config = uvicorn.Config(
        app,
        lifespan='off',
        log_config=None,
        timeout_graceful_shutdown=1,
    )
    server = QuietServer(config)
    sockets = [_listening() for _ in range(count)]
    serving = asyncio.create_task(server.serve(sockets))
    try:
        yield [one.getsockname()[1] for one in sockets]
    finally:
        server.ending.set()
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


def _listening():
    listening = socket.socket()
    listening.bind(('127.0.0.1', 0))
    listening.listen()
    return listening


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
