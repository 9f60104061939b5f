"""A stand-in of the users' store: items under keys, read and watched.

It speaks what the adapter in ``platform/`` speaks. Tests change its items and
let it be slow, silent, refusing or forgetful.
"""

import asyncio
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

import orjson

from lovageshunt.http1 import Request, ServerConnection, ServerLimits


class StoreStandIn:
    """Serves items at an address of this machine."""

    def __init__(self, host: str = '127.0.0.1', page: int = 500) -> None:
        """Begin empty; ``page`` bounds the items of one answer."""
        self.host = host
        self.port = 0
        self.page = page
        self.revision = 1
        self.calls = 0
        #: Answered instead, if it is set.
        self.status: int | None = None
        #: Whether questions are taken and never answered.
        self.is_silent = False
        #: Changes up to this revision are no longer known.
        self.forgotten = 0
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._open: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen at a port of the system's choice."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self, ServerLimits(), self._open),
            self.host,
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def put(self, key: str, raw: bytes) -> None:
        """Write an item."""
        self.revision += 1
        item = {
            'key': key,
            'value': b64encode(raw).decode(),
            'rev': self.revision,
            'created_at': self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._tell(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key)
        self._tell({'key': key, 'rev': self.revision, 'tombstone': True})

    def handle(self, request: Request, connection: ServerConnection) -> None:
        """Answer a question, unless it is to be silent."""
        self.calls += 1
        if self.is_silent:
            return
        if self.status is not None:
            connection.respond(status=self.status, fields=b'', body=b'')
            return
        url = urlsplit(request.target.decode())
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == '/kv-range':
            self._range(query, connection)
        else:
            task = asyncio.ensure_future(self._watch(query, connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def abandon(self, token: None) -> None:
        """Let a watch run out for nobody."""

    def _range(
        self,
        query: dict[str, str],
        connection: ServerConnection,
    ) -> None:
        prefix = query.get('prefix', '')
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key > query.get('after', '')
        ]
        body = {
            'items': found[: self.page],
            'has_more': len(found) > self.page,
            'at': self.revision,
        }
        connection.respond(status=200, fields=b'', body=orjson.dumps(body))

    async def _watch(
        self,
        query: dict[str, str],
        connection: ServerConnection,
    ) -> None:
        after = int(query['after'])
        if after < self.forgotten:
            connection.respond(status=410, fields=b'', body=b'{}')
            return
        try:
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not self._since(after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self.status is not None:
            connection.respond(status=self.status, fields=b'', body=b'')
            return
        body = {'events': self._since(after), 'at': self.revision}
        connection.respond(status=200, fields=b'', body=orjson.dumps(body))

    def _since(self, after: int) -> list[dict[str, object]]:
        return [event for event in self._events if int(event['rev']) > after]  # type: ignore[call-overload]

    def _tell(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
