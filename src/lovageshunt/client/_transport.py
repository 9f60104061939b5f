"""One HTTP exchange, whole or not at all."""

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

#: Connections kept to one address; a new one costs about 1 ms.
_CONNECTIONS_PER_HOST: Final = 256
#: Shorter than the servers' own, so that no request meets a closing
#: connection.
KEEP_ALIVE_SECONDS: Final = 15.0
_CONNECT_SECONDS: Final = 1.0
#: The library would add these to a request; a call keeps its own headers,
#: and only its caller knows which codings of an answer it reads.
_LEFT_OUT: Final = ('accept', 'accept-encoding', 'content-type', 'user-agent')


class ExchangeFailureKind(StrEnum):
    """How an exchange was lost.

    ``REFUSED``: nothing listens at the address. ``UNSENT``: no connection
    was made, and nothing is known of the other side. Of both, nothing was
    written. ``CUT``: the connection ended after the first byte was written.
    ``LATE``: no whole answer came in time. ``TOO_LARGE``: the answer exceeds
    the bound.
    """

    REFUSED = 'refused'
    UNSENT = 'unsent'
    CUT = 'cut'
    LATE = 'late'
    TOO_LARGE = 'too_large'


class ExchangeFailure(Record):
    """An exchange that brought no whole answer."""

    __slots__ = ('kind', 'detail')

    def __init__(self, *, kind: ExchangeFailureKind, detail: str) -> None:
        """Keep the kind and the library's own words."""
        self.kind = kind
        self.detail = detail

    @property
    def is_unsent(self) -> bool:
        """Return whether it is certain that nothing was written."""
        return self.kind in {
            ExchangeFailureKind.REFUSED,
            ExchangeFailureKind.UNSENT,
        }


class HttpResponse(Record):
    """An answer that arrived to its last byte."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Take the parts of the answer; header names ignore case."""
        self.status = status
        self.headers = headers
        self.body = body


class Transport:
    """Sends requests and returns whole answers.

    A connection whose answer was cut, cancelled or late is closed and never
    used again. Nothing is sent twice: the library's own silent resend on a
    kept-alive connection is switched off.
    """

    def __init__(
        self,
        *,
        max_body_bytes: int,
        tls: SSLContext | None = None,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    ) -> None:
        """Keep the settings; ``start`` opens the session."""
        self._max_body_bytes = max_body_bytes
        self._tls = tls
        self._keep_alive_seconds = keep_alive_seconds
        self._scheme = 'http' if tls is None else 'https'
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the session; called on the loop that will use it."""
        connector = TCPConnector(
            limit=0,
            limit_per_host=_CONNECTIONS_PER_HOST,
            keepalive_timeout=self._keep_alive_seconds,
            ssl=True if self._tls is None else self._tls,
            use_dns_cache=False,
        )
        self._session = ClientSession(
            connector=connector,
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_LEFT_OUT,
            timeout=ClientTimeout(total=None, sock_connect=_CONNECT_SECONDS),
        )
        # A silent resend would escape the retry allowance and could run a
        # call twice; the library offers no public switch for it.
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
    ) -> Result[HttpResponse, ExchangeFailure]:
        """Send one request to ``address`` (IP:PORT), and wait for all of it.

        ``target`` is the path with its query. A cancellation passes through
        and closes the connection.
        """
        try:
            async with timeout(timeout_seconds):
                return await self._exchange(
                    address, method, target, headers, body
                )
        except (ClientConnectorError, ConnectionTimeoutError) as unsent:
            # The second is a TimeoutError too, so it is told apart first.
            return _lost(_kind_of_unsent(unsent), str(unsent))
        except TimeoutError:
            return _lost(
                ExchangeFailureKind.LATE, f'no answer in {timeout_seconds} s'
            )
        except (ClientError, OSError) as cut:
            return _lost(ExchangeFailureKind.CUT, str(cut))

    async def _exchange(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Result[HttpResponse, ExchangeFailure]:
        if self._session is None:
            return _lost(ExchangeFailureKind.UNSENT, 'the transport is closed')
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
                return _lost(
                    ExchangeFailureKind.TOO_LARGE,
                    f'more than {self._max_body_bytes} bytes',
                )
            return Ok(
                HttpResponse(
                    status=response.status,
                    headers=response.headers,
                    body=received,
                ),
            )

    async def _read_bounded(self, response: ClientResponse) -> bytes:
        """Read the body, at most a little past the bound."""
        chunks = []
        size = 0
        async for chunk in response.content.iter_any():
            chunks.append(chunk)
            size += len(chunk)
            if size > self._max_body_bytes:
                break
        return b''.join(chunks)


def _kind_of_unsent(error: ClientError) -> ExchangeFailureKind:
    # Cut off by the network, a VM has no route; a refusal is its own word.
    if not isinstance(error, ClientConnectorError):
        return ExchangeFailureKind.UNSENT
    is_refused = isinstance(error.os_error, ConnectionRefusedError)
    return (
        ExchangeFailureKind.REFUSED
        if is_refused
        else ExchangeFailureKind.UNSENT
    )


def _lost(
    kind: ExchangeFailureKind,
    detail: str,
) -> Result[HttpResponse, ExchangeFailure]:
    return Error(ExchangeFailure(kind=kind, detail=detail))
