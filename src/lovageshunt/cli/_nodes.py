"""Asking the admin sides of many nodes at once."""

from asyncio import Semaphore, gather
from collections.abc import Sequence
from ssl import SSLContext
from typing import Any, Final

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from lovageshunt._record import Record
from lovageshunt.errors import NodeAnswerError

#: Nodes asked at one moment.
_MAX_CONCURRENT: Final = 64
#: A longer answer is refused.
_MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
_OK: Final = 200


class NodeAnswer(Record):
    """What one node's admin side answered, or why it did not."""

    __slots__ = ('address', 'body', 'error')

    def __init__(
        self,
        *,
        address: str,
        body: dict[str, Any] | None = None,
        error: NodeAnswerError | None = None,
    ) -> None:
        """Take the address and either of the two others."""
        self.address = address
        self.body = body or {}
        self.error = error


class AdminAccess(Record):
    """How to reach admin sides: token, TLS, timeout."""

    __slots__ = ('token', 'tls', 'timeout_seconds')

    def __init__(
        self,
        *,
        token: str,
        tls: SSLContext | None,
        timeout_seconds: float,
    ) -> None:
        """Use plain HTTP when there is no TLS."""
        self.token = token
        self.tls = tls
        self.timeout_seconds = timeout_seconds

    @property
    def scheme(self) -> str:
        """Return the scheme of the nodes' URLs."""
        return 'http' if self.tls is None else 'https'

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers of each request."""
        if not self.token:
            return {}
        return {'authorization': f'Bearer {self.token}'}

    def connector(self) -> TCPConnector:
        """Return what makes the connections, inside a running loop."""
        return TCPConnector(limit=_MAX_CONCURRENT, ssl=self.tls or True)


async def fetch_all(
    addresses: Sequence[str],
    path: str,
    access: AdminAccess,
) -> list[NodeAnswer]:
    """Return one answer for each address, in their order."""
    free = Semaphore(_MAX_CONCURRENT)
    async with ClientSession(
        connector=access.connector(),
        headers=access.headers,
        timeout=ClientTimeout(total=access.timeout_seconds),
    ) as session:
        asked = [
            _fetch(session, free, address, f'{access.scheme}://{address}{path}')
            for address in addresses
        ]
        return await gather(*asked)


async def _fetch(
    session: ClientSession,
    free: Semaphore,
    address: str,
    url: str,
) -> NodeAnswer:
    # The timeout starts once the request does, not while it waits its turn.
    async with free:
        try:
            return NodeAnswer(address=address, body=await _body(session, url))
        except (ClientError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            return NodeAnswer(
                address=address,
                error=NodeAnswerError(address, reason),
            )


async def _body(session: ClientSession, url: str) -> dict[str, Any]:
    async with session.get(url, allow_redirects=False) as response:
        if response.status != _OK:
            raise ValueError(f'status {response.status}')
        raw = bytearray()
        async for chunk in response.content.iter_any():
            raw += chunk
            if len(raw) > _MAX_ANSWER_BYTES:
                raise ValueError(f'longer than {_MAX_ANSWER_BYTES} bytes')
    body = orjson.loads(raw)
    if not isinstance(body, dict):
        raise ValueError('the answer is no JSON object')
    return body
