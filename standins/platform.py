"""A stand-in of the platform: values that can be read and watched.

``python -m standins.platform IP:PORT`` serves it. What operators and the
platform itself do (publish, fail, go stale, restart) is done under
``/control``, which no process of the product calls.
"""

import asyncio
import sys
from typing import Any

import orjson
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route


class PlatformState:
    """The published values, and how the platform misbehaves."""

    __slots__ = ('by_name', 'stale_by_name', 'is_out', 'reads', 'changed')

    def __init__(self) -> None:
        """Start with nothing published."""
        self.by_name: dict[str, dict[str, Any]] = {}
        self.stale_by_name: dict[str, dict[str, Any]] | None = None
        self.is_out = False
        self.reads = 0
        self.changed = asyncio.Event()

    def publish(self, name: str, document: object) -> int:
        """Publish a value and wake the watches; return its revision."""
        revision = self._revision(name) + 1
        self.by_name[name] = {'revision': revision, 'value': document}
        self._wake()
        return revision

    def control(self, order: dict[str, Any]) -> None:
        """Carry out one order of a test."""
        self.is_out = order.get('outage', self.is_out)
        if 'stale' in order:
            self.stale_by_name = dict(self.by_name) if order['stale'] else None
        if order.get('restart'):
            # A restarted platform counts its revisions from the start.
            for published in self.by_name.values():
                published['revision'] = 1
        for name, document in order.get('publish', {}).items():
            self.publish(name, document)
        self._wake()

    def shown(self, name: str) -> dict[str, Any] | None:
        """Return what a reader sees now, which may be stale."""
        source = self.by_name
        if self.stale_by_name is not None:
            source = self.stale_by_name
        return source.get(name)

    def _revision(self, name: str) -> int:
        if name not in self.by_name:
            return 0
        return int(self.by_name[name]['revision'])

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def make_app(state: PlatformState) -> Starlette:
    """Return the application that serves the state."""

    async def read(request: Request) -> Response:
        state.reads += 1
        if state.is_out:
            return Response(status_code=503)
        name = request.path_params['name']
        after = request.query_params.get('after')
        wait_ms = int(request.query_params.get('wait_ms', 0))
        if after is not None and not await _differs(
            state, name, int(after), wait_ms
        ):
            return Response(status_code=304)
        published = state.shown(name)
        if published is None:
            return Response(status_code=404)
        return Response(orjson.dumps(published))

    async def control(request: Request) -> Response:
        state.control(orjson.loads(await request.body()))
        return Response(orjson.dumps({'reads': state.reads}))

    return Starlette(
        routes=[
            Route('/v1/values/{name}', read),
            Route('/control', control, methods=['POST']),
        ],
    )


async def _differs(
    state: PlatformState,
    name: str,
    after: int,
    wait_ms: int,
) -> bool:
    """Wait until the shown revision differs, or the time is over."""
    try:
        async with asyncio.timeout(wait_ms / 1000):
            while _shown_revision(state, name) == after and not state.is_out:
                await state.changed.wait()
    except TimeoutError:
        return False
    return True


def _shown_revision(state: PlatformState, name: str) -> int:
    published = state.shown(name)
    return int(published['revision']) if published else 0


async def _serve(address: str) -> None:
    host, port = address.rsplit(':', 1)
    config = uvicorn.Config(
        make_app(PlatformState()),
        host=host,
        port=int(port),
        log_level='warning',
        access_log=False,
        timeout_keep_alive=60,
    )
    await uvicorn.Server(config).serve()


if __name__ == '__main__':
    asyncio.run(_serve(sys.argv[1]))
