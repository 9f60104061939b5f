"""A fake target: a service with slots, a service time and injected failures.

Run it with ``python -m standins.target SPEC.json``. It records every
execution in a file, so that tests can compare executions with the outcomes
reported to callers. It respects deadlines and cancellation, and calls the
services in its specification through ``lovageshunt.client``.
"""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import orjson
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lovageshunt.client import (
    CallScope,
    Client,
    ClientOptions,
    InboundCalls,
    scope_of,
)

_CRASH_EXIT_CODE = 3
_POISON_HEADER = 'x-poison'


class TargetSpec:
    """The specification of a target, from its file and control requests.

    ``listen`` and ``node`` are addresses as IP:PORT, ``slots`` the number of
    concurrent requests, ``service_ms`` the duration of one request in ms,
    ``calls`` objects with service and path, ``cold_seconds`` the delay
    before it listens; with ``is_shedding`` every request is refused.
    """

    __slots__ = (
        'name',
        'service',
        'listen',
        'node',
        'failure_domain',
        'slots',
        'service_ms',
        'calls',
        'cold_seconds',
        'is_shedding',
        'load_factor',
        'witness',
    )

    def __init__(self, **fields: Any) -> None:
        self.name: str = fields['name']
        self.service: str = fields['service']
        self.listen: str = fields['listen']
        self.node: str = fields['node']
        self.failure_domain: str = fields['failure_domain']
        self.slots: int = fields.get('slots', 20)
        self.service_ms: float = fields.get('service_ms', 5.0)
        self.calls: list[dict[str, str]] = fields.get('calls', [])
        self.cold_seconds: float = fields.get('cold_seconds', 0)
        self.is_shedding: bool = fields.get('is_shedding', False)
        #: The load endpoint reports the actual load times this factor.
        self.load_factor: float = fields.get('load_factor', 1.0)
        #: File with a line per execution event; it survives a kill.
        self.witness: str = fields.get('witness', '')


class Target:
    """Serves requests in slots and records their executions.

    ``running`` is the number of requests that occupy a slot.
    """

    __slots__ = ('spec', 'client', 'running', 'slots')

    def __init__(self, spec: TargetSpec) -> None:
        self.spec = spec
        self.client = Client(
            ClientOptions(
                name=spec.name,
                failure_domain=spec.failure_domain,
                seeds=(spec.node,),
                services=tuple(call['service'] for call in spec.calls),
            ),
        )
        self.running = 0
        self.slots = asyncio.Semaphore(spec.slots)

    async def serve(self, request: Request) -> Response:
        """Execute a request in a slot, or refuse it while shedding."""
        if self.spec.is_shedding:
            return Response(
                status_code=503,
                headers={'retry-after': '1', 'lovageshunt-not-run': '1'},
            )
        scope = scope_of(request.scope)
        async with self.slots:
            self._record('ran', scope)
            self.running += 1
            try:
                return await self._run(request, scope)
            finally:
                self.running -= 1

    async def health(self, request: Request) -> Response:
        """Answer 200 while the process runs, also under overload."""
        return Response(b'ok')

    async def load(self, request: Request) -> Response:
        """Report slots and load; ``load_factor`` can make it inaccurate."""
        running = int(self.running * self.spec.load_factor)
        return Response(
            orjson.dumps({'running': running, 'slots': self.spec.slots}),
        )

    async def control(self, request: Request) -> Response:
        """Set fields of the specification from a JSON object."""
        for name, setting in orjson.loads(await request.body()).items():
            setattr(self.spec, name, setting)
        return Response(b'ok')

    async def _run(self, request: Request, scope: CallScope) -> Response:
        if request.headers.get(_POISON_HEADER):
            os._exit(_CRASH_EXIT_CODE)
        await asyncio.sleep(self.spec.service_ms / 1000)
        parts = {}
        for call in self.spec.calls:
            reply = await scope.call(
                call['service'],
                request.method,
                call['path'],
            )
            if reply.is_error():
                return scope.failure_response(reply.error)
            parts[call['service']] = orjson.loads(reply.ok.body)
        self._record('finished', scope)
        return Response(
            orjson.dumps(
                {
                    'service': self.spec.service,
                    'request': scope.request_id,
                    'path': request.url.path,
                    'parts': parts,
                },
            ),
        )

    def _record(self, event: str, scope: CallScope) -> None:
        if not self.spec.witness:
            return
        line = (
            f'{event} {self.spec.service} {scope.request_id} {scope.call_id}\n'
        )
        with Path(self.spec.witness).open('a', encoding='utf-8') as stream:
            stream.write(line)


def make_app(target: Target) -> InboundCalls:
    """Return the application of a target, with its inbound middleware."""
    methods = ['GET', 'POST', 'PUT', 'DELETE']
    routes = [
        Route('/health', target.health),
        Route('/load', target.load),
        Route('/control', target.control, methods=['POST']),
        Route('/{path:path}', target.serve, methods=methods),
    ]
    return InboundCalls(Starlette(routes=routes), target.client)


async def _serve(spec: TargetSpec) -> None:
    await asyncio.sleep(spec.cold_seconds)
    target = Target(spec)
    await target.client.start()
    host, port = spec.listen.rsplit(':', 1)
    config = uvicorn.Config(
        make_app(target),
        host=host,
        port=int(port),
        log_level='warning',
        access_log=False,
        timeout_keep_alive=60,
    )
    await uvicorn.Server(config).serve()
    await target.client.close()


if __name__ == '__main__':
    asyncio.run(
        _serve(TargetSpec(**orjson.loads(Path(sys.argv[1]).read_bytes()))),
    )
