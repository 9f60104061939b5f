"""A fake key-value store with range reads and watches.

It implements the protocol of the adapter in ``platform/``. Tests change its
items and inject error statuses, unanswered requests and lost history.
"""

import asyncio
from base64 import b64encode
from collections.abc import Callable
from functools import partial
from urllib.parse import parse_qs, urlsplit

import orjson

from lovageshunt.http1 import (
    OpenConnections,
    Request,
    ServerConnection,
    ServerLimits,
)


class StoreCopy:
    """The items of a store as of a revision."""

    __slots__ = ('revision', 'items')

    def __init__(
        self, revision: int, items: dict[str, dict[str, object]]
    ) -> None:
        self.revision = revision
        self.items = items


class StoreStandIn:
    """Serves items on a loopback port.

    ``page_size`` is the maximum number of items per answer, ``revision`` the
    revision of the last change, ``request_count`` the number of requests
    received.
    """

    def __init__(self, host: str = '127.0.0.1', page_size: int = 500) -> None:
        self.host = host
        self.port = 0
        self.page_size = page_size
        self.revision = 1
        self.request_count = 0
        #: If set, every request is answered with this status.
        self.status: int | None = None
        #: Whether requests are accepted and never answered.
        self.is_silent = False
        #: Sent with each answer, also text that is no number; ``None`` leaves
        #: the field out.
        self.era: int | str | None = 1
        #: Watches from before this revision get status 410.
        self.compacted_revision = 0
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._connections: OpenConnections[ServerConnection] = OpenConnections()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on ``port``, or on a free port if it is 0."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self, ServerLimits(), self._connections),
            self.host,
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and cancel pending watches."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def put(self, key: str, raw: bytes) -> None:
        """Create or replace an item and notify watches."""
        self.put_encoded(key, b64encode(raw).decode())

    def put_encoded(self, key: str, value: object) -> None:
        """Create or replace an item whose ``value`` is sent as it is."""
        self.revision += 1
        item = {
            'key': key,
            'value': value,
            'rev': self.revision,
            'created_at': self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Delete an item and notify watches with a tombstone."""
        self.revision += 1
        self._items.pop(key)
        self._record({'key': key, 'rev': self.revision, 'tombstone': True})

    def copy(self) -> 'StoreCopy':
        """Return a copy of the items and their revision, for ``restore``."""
        return StoreCopy(self.revision, dict(self._items))

    def restore(self, copy: 'StoreCopy') -> None:
        """Return from a copy: a new era, in which revisions are reused."""
        self.era = int(self.era or 0) + 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._events = [
            event
            for event in self._events
            if int(event['rev']) <= self.revision  # type: ignore[call-overload]
        ]

    def _fields(self) -> bytes:
        if self.era is None:
            return b''
        return f'store-era: {self.era}\r\n'.encode()

    def handle(self, request: Request, connection: ServerConnection) -> None:
        """Answer one request; implements the server interface of ``http1``."""
        self.request_count += 1
        if self.is_silent:
            return
        if self.status is not None:
            connection.respond(
                request, status=self.status, fields=self._fields(), body=b''
            )
            return
        respond = partial(connection.respond, request)
        url = urlsplit(request.target.decode())
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == '/kv-range':
            self._read_range(query, respond)
        else:
            task = asyncio.ensure_future(self._watch(query, respond))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def abandon(self, token: None) -> None:
        """Do nothing; a watch of a closed connection ends by its timeout."""

    def _read_range(
        self,
        query: dict[str, str],
        respond: Callable[..., bool],
    ) -> None:
        prefix = query.get('prefix', '')
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key > query.get('after', '')
        ]
        body = {
            'items': found[: self.page_size],
            'has_more': len(found) > self.page_size,
            'at': self.revision,
        }
        respond(status=200, fields=self._fields(), body=orjson.dumps(body))

    async def _watch(
        self,
        query: dict[str, str],
        respond: Callable[..., bool],
    ) -> None:
        after = int(query['after'])
        if after < self.compacted_revision:
            respond(status=410, fields=self._fields(), body=b'{}')
            return
        try:
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not self._events_after(after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self.status is not None:
            respond(status=self.status, fields=self._fields(), body=b'')
            return
        body = {'events': self._events_after(after), 'at': self.revision}
        respond(status=200, fields=self._fields(), body=orjson.dumps(body))

    def _events_after(self, after: int) -> list[dict[str, object]]:
        return [event for event in self._events if int(event['rev']) > after]  # type: ignore[call-overload]

    def _record(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
