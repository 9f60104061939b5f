"""Sends HTTP requests and reads complete responses."""

from asyncio import timeout
from collections.abc import Mapping
from enum import StrEnum
from ssl import SSLContext
from typing import Final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from expression import Error, Ok, Result
from yarl import URL

from lovageshunt._record import Record

#: Limit of connections to one address; a new one costs about 1 ms.
_MAX_CONNECTIONS_PER_HOST: Final = 256
#: Shorter than the keep-alive of the servers, so that no request is sent on a
#: connection that the server is closing.
KEEP_ALIVE_SECONDS: Final = 15.0
_CONNECT_TIMEOUT_SECONDS: Final = 1.0
#: Headers that aiohttp would add. A call keeps its own headers, and only its
#: caller knows which content codings it can decode.
_SKIPPED_HEADERS: Final = (
    'accept',
    'accept-encoding',
    'content-type',
    'user-agent',
)


class ExchangeFailureKind(StrEnum):
    """How an exchange failed.

    ``REFUSED``: nothing listens at the address. ``UNSENT``: no connection
    was made, and the state of the peer is unknown. In both cases nothing
    was written. ``CUT``: the connection ended after the first byte was
    written. ``LATE``: no complete response arrived before the timeout.
    ``TOO_LARGE``: the response exceeds the limit.
    """

    REFUSED = 'refused'
    UNSENT = 'unsent'
    CUT = 'cut'
    LATE = 'late'
    TOO_LARGE = 'too_large'


class ExchangeFailure(Record):
    """Why an exchange brought no complete response.

    ``detail`` is the message of the underlying error.
    """

    __slots__ = ('kind', 'detail')

    def __init__(self, *, kind: ExchangeFailureKind, detail: str) -> None:
        self.kind = kind
        self.detail = detail

    @property
    def is_unsent(self) -> bool:
        """Whether it is certain that no byte of the request was written."""
        return self.kind in {
            ExchangeFailureKind.REFUSED,
            ExchangeFailureKind.UNSENT,
        }


class TransportResponse(Record):
    """A complete HTTP response; header names are case-insensitive."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Transport:
    """Sends requests and returns complete responses.

    A connection whose response was truncated, cancelled or late is closed
    and never reused. No request is sent twice: the silent resend of aiohttp
    on a kept-alive connection is switched off. Requests fail as ``UNSENT``
    before ``start`` and after ``close``. With ``keep_alive_seconds`` of 0 no
    connection is reused.
    """

    def __init__(
        self,
        *,
        max_body_bytes: int,
        tls: SSLContext | None = None,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._tls = tls
        self._keep_alive_seconds = keep_alive_seconds
        self._scheme = 'http' if tls is None else 'https'
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the session; call it on the event loop that will use it."""
        connector = TCPConnector(
            limit=0,
            limit_per_host=_MAX_CONNECTIONS_PER_HOST,
            keepalive_timeout=self._keep_alive_seconds or None,
            force_close=not self._keep_alive_seconds,
            ssl=True if self._tls is None else self._tls,
            use_dns_cache=False,
        )
        self._session = ClientSession(
            connector=connector,
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            timeout=ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_SECONDS
            ),
        )
        # A silent resend would bypass the retry allowance and could run a
        # call twice; aiohttp has no public option to disable it.
        self._session._retry_connection = False  # noqa: SLF001, WPS437

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(
        self,
        *,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_seconds: float,
    ) -> Result[TransportResponse, ExchangeFailure]:
        """Send a request to ``address`` (IP:PORT) and read its response.

        ``target`` is the path with its query. A cancellation propagates and
        closes the connection.
        """
        try:
            async with timeout(timeout_seconds):
                return await self._exchange(
                    address, method, target, headers, body
                )
        except (ClientConnectorError, ConnectionTimeoutError) as unsent:
            # ConnectionTimeoutError is a TimeoutError too, so this handler
            # has to come first.
            return _failed(_kind_of_unsent(unsent), str(unsent))
        except TimeoutError:
            return _failed(
                ExchangeFailureKind.LATE,
                f'no complete response within {timeout_seconds} s',
            )
        except (ClientError, OSError) as cut:
            return _failed(ExchangeFailureKind.CUT, str(cut))

    async def _exchange(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Result[TransportResponse, ExchangeFailure]:
        if self._session is None:
            return _failed(
                ExchangeFailureKind.UNSENT,
                'the transport is not started or is closed',
            )
        async with self._session.request(
            method,
            URL(f'{self._scheme}://{address}{target}', encoded=True),
            headers=headers,
            data=body or None,
            allow_redirects=False,
        ) as response:
            received = await self._read_bounded(response)
            if len(received) > self._max_body_bytes:
                response.close()
                return _failed(
                    ExchangeFailureKind.TOO_LARGE,
                    f'response body exceeds {self._max_body_bytes} bytes',
                )
            return Ok(
                TransportResponse(
                    status=response.status,
                    headers=response.headers,
                    body=received,
                ),
            )

    async def _read_bounded(self, response: ClientResponse) -> bytes:
        """Read the body; stop at the first chunk beyond the limit."""
        chunks = []
        size = 0
        async for chunk in response.content.iter_any():
            chunks.append(chunk)
            size += len(chunk)
            if size > self._max_body_bytes:
                break
        return b''.join(chunks)


def _kind_of_unsent(error: ClientError) -> ExchangeFailureKind:
    # A VM cut off by the network has no route, which proves nothing about
    # the peer; a refused connection was answered by the peer itself.
    if not isinstance(error, ClientConnectorError):
        return ExchangeFailureKind.UNSENT
    is_refused = isinstance(error.os_error, ConnectionRefusedError)
    return (
        ExchangeFailureKind.REFUSED
        if is_refused
        else ExchangeFailureKind.UNSENT
    )


def _failed(
    kind: ExchangeFailureKind,
    detail: str,
) -> Result[TransportResponse, ExchangeFailure]:
    return Error(ExchangeFailure(kind=kind, detail=detail))
