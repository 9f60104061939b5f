"""Concurrent HTTP requests to the admin APIs of nodes."""

from asyncio import Semaphore, gather
from collections.abc import Sequence
from ssl import SSLContext
from typing import Any, Final

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from lovageshunt._record import Record
from lovageshunt.errors import NodeAnswerError

_MAX_CONCURRENT_REQUESTS: Final = 64
#: A longer answer is an error.
_MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
_OK: Final = 200


class NodeAnswer(Record):
    """The JSON object that a node answered, or the error.

    ``body`` is empty when ``error`` is set.
    """

    __slots__ = ('address', 'body', 'error')

    def __init__(
        self,
        *,
        address: str,
        body: dict[str, Any] | None = None,
        error: NodeAnswerError | None = None,
    ) -> None:
        self.address = address
        self.body = body or {}
        self.error = error


class AdminAccess(Record):
    """How to reach admin APIs.

    An empty ``token`` sends no authorization; without ``tls`` plain HTTP is
    used; ``timeout_seconds`` covers one whole request.
    """

    __slots__ = ('token', 'tls', 'timeout_seconds')

    def __init__(
        self,
        *,
        token: str,
        tls: SSLContext | None,
        timeout_seconds: float,
    ) -> None:
        self.token = token
        self.tls = tls
        self.timeout_seconds = timeout_seconds

    @property
    def scheme(self) -> str:
        """URL scheme, ``http`` or ``https``."""
        return 'http' if self.tls is None else 'https'

    @property
    def headers(self) -> dict[str, str]:
        """Headers sent with each request."""
        if not self.token:
            return {}
        return {'authorization': f'Bearer {self.token}'}

    def connector(self) -> TCPConnector:
        """Return a new connector; needs a running event loop."""
        return TCPConnector(
            limit=_MAX_CONCURRENT_REQUESTS, ssl=self.tls or True
        )


async def fetch_all(
    addresses: Sequence[str],
    path: str,
    access: AdminAccess,
) -> list[NodeAnswer]:
    """Request a path from all nodes; return answers in address order.

    A failed request gives an answer with ``error``; nothing is raised.
    """
    semaphore = Semaphore(_MAX_CONCURRENT_REQUESTS)
    async with ClientSession(
        connector=access.connector(),
        headers=access.headers,
        timeout=ClientTimeout(total=access.timeout_seconds),
    ) as session:
        fetches = [
            _fetch(
                session,
                semaphore,
                address,
                f'{access.scheme}://{address}{path}',
            )
            for address in addresses
        ]
        return await gather(*fetches)


async def _fetch(
    session: ClientSession,
    semaphore: Semaphore,
    address: str,
    url: str,
) -> NodeAnswer:
    # Acquired first, so that queueing does not count against the timeout.
    async with semaphore:
        try:
            return NodeAnswer(
                address=address, body=await _get_body(session, url)
            )
        except (ClientError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            return NodeAnswer(
                address=address,
                error=NodeAnswerError(address, reason),
            )


async def _get_body(session: ClientSession, url: str) -> dict[str, Any]:
    async with session.get(url, allow_redirects=False) as response:
        if response.status != _OK:
            raise ValueError(f'expected status {_OK}, got {response.status}')
        raw = bytearray()
        async for chunk in response.content.iter_any():
            raw += chunk
            if len(raw) > _MAX_ANSWER_BYTES:
                raise ValueError(f'answer exceeds {_MAX_ANSWER_BYTES} bytes')
    body = orjson.loads(raw)
    if not isinstance(body, dict):
        raise ValueError('expected a JSON object as the answer')
    return body
