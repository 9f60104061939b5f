"""A fake platform: named values with revisions that can be read and watched.

Run it with ``python -m standins.platform IP:PORT``. Tests post to
``/control`` to publish values and to inject outages, stale reads and
restarts; the product never calls it.
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
    """The published values and the injected failures.

    ``value_by_name`` holds each value with its revision;
    ``stale_value_by_name`` is the snapshot that is served instead while
    reads are stale; with ``is_unavailable`` reads fail with status 503;
    ``read_count`` counts reads; ``changed`` wakes the watches.
    """

    __slots__ = (
        'value_by_name',
        'stale_value_by_name',
        'is_unavailable',
        'read_count',
        'changed',
    )

    def __init__(self) -> None:
        self.value_by_name: dict[str, dict[str, Any]] = {}
        self.stale_value_by_name: dict[str, dict[str, Any]] | None = None
        self.is_unavailable = False
        self.read_count = 0
        self.changed = asyncio.Event()

    def publish(self, name: str, document: object) -> int:
        """Publish a value and wake all watches; return its new revision."""
        revision = self._published_revision(name) + 1
        self.value_by_name[name] = {'revision': revision, 'value': document}
        self._wake()
        return revision

    def control(self, command: dict[str, Any]) -> None:
        """Apply a command with any of the keys used below.

        ``outage``: reads fail while true. ``stale``: the current values are
        served on while true. ``restart``: revisions start at 1 again.
        ``publish``: values by name.
        """
        self.is_unavailable = command.get('outage', self.is_unavailable)
        if 'stale' in command:
            self.stale_value_by_name = (
                dict(self.value_by_name) if command['stale'] else None
            )
        if command.get('restart'):
            # A restarted platform counts revisions from 1 again.
            for published in self.value_by_name.values():
                published['revision'] = 1
        for name, document in command.get('publish', {}).items():
            self.publish(name, document)
        self._wake()

    def visible_value(self, name: str) -> dict[str, Any] | None:
        """Return the value and revision that reads see, possibly stale."""
        source = self.value_by_name
        if self.stale_value_by_name is not None:
            source = self.stale_value_by_name
        return source.get(name)

    def _published_revision(self, name: str) -> int:
        if name not in self.value_by_name:
            return 0
        return int(self.value_by_name[name]['revision'])

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def make_app(state: PlatformState) -> Starlette:
    """Return the HTTP application that serves ``state``."""

    async def read(request: Request) -> Response:
        state.read_count += 1
        if state.is_unavailable:
            return Response(status_code=503)
        name = request.path_params['name']
        after = request.query_params.get('after')
        wait_ms = int(request.query_params.get('wait_ms', 0))
        if after is not None and not await _wait_for_change(
            state, name, int(after), wait_ms
        ):
            return Response(status_code=304)
        published = state.visible_value(name)
        if published is None:
            return Response(status_code=404)
        return Response(orjson.dumps(published))

    async def control(request: Request) -> Response:
        state.control(orjson.loads(await request.body()))
        return Response(orjson.dumps({'reads': state.read_count}))

    return Starlette(
        routes=[
            Route('/v1/values/{name}', read),
            Route('/control', control, methods=['POST']),
        ],
    )


async def _wait_for_change(
    state: PlatformState,
    name: str,
    after: int,
    wait_ms: int,
) -> bool:
    """Return whether the revision differs from ``after`` within ``wait_ms``."""
    try:
        async with asyncio.timeout(wait_ms / 1000):
            while (
                _visible_revision(state, name) == after
                and not state.is_unavailable
            ):
                await state.changed.wait()
    except TimeoutError:
        return False
    return True


def _visible_revision(state: PlatformState, name: str) -> int:
    published = state.visible_value(name)
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
