"""Reads complete ASGI requests and sends complete ASGI responses."""

from asyncio import CancelledError, create_task, current_task
from collections.abc import (
    Awaitable,
    Callable,
    Coroutine,
    Iterable,
    MutableMapping,
)
from typing import Any, Final, TypeVar

from expression import Error, Ok, Result

from lovageshunt._record import Record

ResultT = TypeVar('ResultT')

AsgiMessage = MutableMapping[str, Any]
AsgiScope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
Send = Callable[[AsgiMessage], Awaitable[None]]
AsgiApp = Callable[[AsgiScope, Receive, Send], Awaitable[None]]

_DISCONNECT: Final = 'http.disconnect'
_BAD_REQUEST: Final = 400
_TOO_LARGE: Final = 413


class InboundRequest(Record):
    """A request that was read completely.

    ``target`` is the path with its query as received, still percent-encoded;
    ``path`` is decoded and has no query. The names in ``headers`` are lower
    case.
    """

    __slots__ = ('method', 'path', 'target', 'headers', 'body')

    def __init__(
        self,
        *,
        method: str,
        path: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.method = method
        self.path = path
        self.target = target
        self.headers = headers
        self.body = body


class ReadFailure(Record):
    """Why a request was not read.

    ``status`` is that of the refusal, ``detail`` its reason for the caller.
    Without a status the caller has disconnected.
    """

    __slots__ = ('status', 'detail')

    def __init__(self, *, status: int = 0, detail: str = '') -> None:
        self.status = status
        self.detail = detail

    @property
    def is_disconnected(self) -> bool:
        """Whether there is no caller any more to respond to."""
        return not self.status


_BODY_LOST: Final = ReadFailure(
    status=_BAD_REQUEST,
    detail='a request with a body cannot offer an upgrade; send it without',
)


async def read_inbound(
    scope: AsgiScope,
    receive: Receive,
    max_body_bytes: int,
) -> Result[InboundRequest, ReadFailure]:
    """Read a request to its end, or return why that failed."""
    chunks = []
    size = 0
    is_more = True
    while is_more:
        message = await receive()
        if message['type'] == _DISCONNECT:
            return Error(ReadFailure())
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        if size > max_body_bytes:
            return Error(_too_large(max_body_bytes))
        is_more = message.get('more_body', False)
    inbound = _inbound_of(scope, b''.join(chunks))
    if _lacks_body(inbound):
        return Error(_BODY_LOST)
    return Ok(inbound)


def _too_large(max_body_bytes: int) -> ReadFailure:
    return ReadFailure(
        status=_TOO_LARGE,
        detail=(
            f'the body is over {max_body_bytes} bytes; send less, or raise '
            '[limits] body_bytes'
        ),
    )


def _lacks_body(inbound: InboundRequest) -> bool:
    """Return whether the server has not read the body of a request.

    The HTTP parser ends a request that offers an upgrade with its head.
    """
    headers = inbound.headers
    if inbound.body or 'upgrade' not in headers:
        return False
    has_length = headers.get('content-length', '0') != '0'
    return has_length or 'transfer-encoding' in headers


async def respond(
    send: Send,
    *,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Send a complete response with its ``content-length``."""
    length = str(len(body)).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [*headers, (b'content-length', length)],
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def run_until_disconnect(
    receive: Receive,
    work: Coroutine[Any, Any, ResultT],
) -> ResultT | None:
    """Run the work; cancel it and return None if the caller disconnects."""
    watch = _DisconnectWatch(receive)
    watcher = create_task(watch.run())
    try:
        return await work
    except CancelledError:
        if not watch.is_disconnected:
            raise
        watch.worker.uncancel()
        return None
    finally:
        watcher.cancel()


class _DisconnectWatch:
    """Cancels the task that created it when the caller disconnects."""

    __slots__ = ('is_disconnected', 'worker', '_receive')

    def __init__(self, receive: Receive) -> None:
        task = current_task()
        if task is None:
            raise RuntimeError('no running task; await this from a task')
        self.worker = task
        self.is_disconnected = False
        self._receive = receive

    async def run(self) -> None:
        message = await self._receive()
        while message['type'] != _DISCONNECT:
            message = await self._receive()
        self.is_disconnected = True
        self.worker.cancel()


def _inbound_of(scope: AsgiScope, body: bytes) -> InboundRequest:
    raw_path = scope.get('raw_path') or scope['path'].encode()
    target = raw_path.decode('latin-1')
    query = scope.get('query_string', b'')
    if query:
        target = f'{target}?{query.decode("latin-1")}'
    return InboundRequest(
        method=scope['method'],
        path=scope['path'],
        target=target,
        headers=_headers_of(scope['headers']),
        body=body,
    )


def _headers_of(pairs: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers by name; repeated headers are joined.

    Cookies are joined with a semicolon, all others with a comma.
    """
    by_name: dict[str, str] = {}
    for raw_name, raw_text in pairs:
        name = raw_name.decode('latin-1')
        text = raw_text.decode('latin-1')
        known = by_name.get(name)
        if known is not None:
            separator = '; ' if name == 'cookie' else ', '
            text = f'{known}{separator}{text}'
        by_name[name] = text
    return by_name
