"""A stand-in of a target: a service with slots, time of service and faults.

``python -m standins.target SPEC.json`` serves it. It witnesses every
execution in a file, so that tests compare what ran with what callers were
told. It keeps to deadlines and cancellation, and calls the services named
in its specification through ``lovageshunt.client``.
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
    """What one target is like, and how it misbehaves right now."""

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
        """Take the fields of the specification file."""
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
        #: What the load endpoint shows is the truth times this.
        self.load_factor: float = fields.get('load_factor', 1.0)
        #: A file that gets a line for each execution; it outlives a kill.
        self.witness: str = fields.get('witness', '')


class Target:
    """Serves requests in slots, and remembers what ran."""

    __slots__ = ('spec', 'client', 'running', 'slots')

    def __init__(self, spec: TargetSpec) -> None:
        """Start with nothing run."""
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
        """Run one request."""
        if self.spec.is_shedding:
            return Response(
                status_code=503,
                headers={'retry-after': '1', 'lovageshunt-not-run': '1'},
            )
        scope = scope_of(request.scope)
        async with self.slots:
            self._witness('ran', scope)
            self.running += 1
            try:
                return await self._run(request, scope)
            finally:
                self.running -= 1

    async def health(self, request: Request) -> Response:
        """Say that the process is up, however it fares."""
        return Response(b'ok')

    async def load(self, request: Request) -> Response:
        """Report the load, which may mislead."""
        shown = int(self.running * self.spec.load_factor)
        return Response(
            orjson.dumps({'running': shown, 'slots': self.spec.slots}),
        )

    async def control(self, request: Request) -> Response:
        """Change the specification."""
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
        self._witness('finished', scope)
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

    def _witness(self, what: str, scope: CallScope) -> None:
        if not self.spec.witness:
            return
        line = (
            f'{what} {self.spec.service} {scope.request_id} {scope.call_id}\n'
        )
        with Path(self.spec.witness).open('a', encoding='utf-8') as witness:
            witness.write(line)


def make_app(target: Target) -> InboundCalls:
    """Return the application that serves a target."""
    anything = ['GET', 'POST', 'PUT', 'DELETE']
    routes = [
        Route('/health', target.health),
        Route('/load', target.load),
        Route('/control', target.control, methods=['POST']),
        Route('/{path:path}', target.serve, methods=anything),
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
