"""Asking the admin sides of many nodes at once."""

from asyncio import Semaphore, gather
from pathlib import Path
from ssl import create_default_context
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
        self.body = body
        self.error = error


class AdminAccess(Record):
    """How to reach admin sides: token, certificate authority, timeout."""

    __slots__ = ('token', 'ca_file', 'timeout_seconds')

    def __init__(
        self,
        *,
        token: str = '',
        ca_file: str = '',
        timeout_seconds: float = 2,
    ) -> None:
        """Use TLS when there is a file of certificate authorities."""
        self.token = token
        self.ca_file = ca_file
        self.timeout_seconds = timeout_seconds


def read_token(path: str) -> str:
    """Return the token in a file, or an empty one when no file is named."""
    if not path:
        return ''
    return Path(path).read_text(encoding='utf-8').strip()


async def fetch_all(
    addresses: list[str],
    path: str,
    access: AdminAccess,
) -> list[NodeAnswer]:
    """Return one answer for each address, in their order."""
    headers = {}
    if access.token:
        headers['authorization'] = f'Bearer {access.token}'
    tls = (
        create_default_context(cafile=access.ca_file)
        if access.ca_file
        else None
    )
    connector = TCPConnector(limit=_MAX_CONCURRENT, ssl=tls or True)
    scheme = 'https' if tls else 'http'
    free = Semaphore(_MAX_CONCURRENT)
    async with ClientSession(
        connector=connector,
        headers=headers,
        timeout=ClientTimeout(total=access.timeout_seconds),
    ) as session:
        return await gather(
            *(
                _fetch(session, free, address, f'{scheme}://{address}{path}')
                for address in addresses
            ),
        )


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
        raw = await response.content.read(_MAX_ANSWER_BYTES + 1)
        while not response.content.at_eof() and len(raw) <= _MAX_ANSWER_BYTES:
            raw += await response.content.readany()
    if len(raw) > _MAX_ANSWER_BYTES:
        raise ValueError(f'answer longer than {_MAX_ANSWER_BYTES} bytes')
    body = orjson.loads(raw)
    if not isinstance(body, dict):
        raise ValueError('the answer is no JSON object')
    return body
