"""Complete HTTP messages and their encoding."""

from collections.abc import Iterable
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from lovageshunt._record import Record
from lovageshunt._sending import Buffer

#: Header fields that are not forwarded, in lower case: hop-by-hop fields, and
#: those that this package sets or handles itself.
_HOP_BY_HOP_FIELDS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)
_REASON_BY_STATUS: Final = MappingProxyType(
    {int(status): status.phrase.encode() for status in HTTPStatus},
)
#: Statuses of responses that have no body and no content length.
BODILESS_STATUSES: Final = frozenset((204, 304))

Header = tuple[bytes, bytes]


class Request(Record):
    """A complete request; ``target`` is the request target as received.

    ``headers`` have lower-case names and are in the order of receipt.
    ``keeps_alive`` is false if the client asked to close the connection.
    """

    __slots__ = ('method', 'target', 'headers', 'body', 'keeps_alive')

    def __init__(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: list[Header],
        body: Buffer = b'',
        keeps_alive: bool = True,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive

    def header(self, name: bytes) -> bytes:
        """Return the first value of a lower-case name, or ``b''``."""
        return first_header(self.headers, name)


class Response(Record):
    """A complete response; ``headers`` have lower-case names."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: list[Header],
        body: bytes = b'',
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> bytes:
        """Return the first value of a lower-case name, or ``b''``."""
        return first_header(self.headers, name)


class ExchangeEnd(StrEnum):
    """How an exchange ended.

    ``COMPLETE``: the complete response was received. ``UNSENT``: no byte of
    the request was written. ``REFUSED``: the same, because nothing listens at
    the address. ``CLOSED``: the peer closed a reused connection before the
    first byte of a response. ``INCOMPLETE``: the response was lost, truncated,
    malformed or that of another request. ``CANCELLED``: this side cancelled
    the exchange.
    """

    COMPLETE = 'whole'
    UNSENT = 'unsent'
    REFUSED = 'refused'
    CLOSED = 'closed'
    INCOMPLETE = 'cut'
    CANCELLED = 'cancelled'


def first_header(headers: Iterable[Header], name: bytes) -> bytes:
    """Return the first value of a lower-case name, or ``b''``."""
    for field, text in headers:
        if field == name:
            return text
    return b''


def forwarded_fields(
    headers: list[Header],
    dropped: frozenset[bytes],
) -> bytes:
    """Return the header lines to forward, without hop-by-hop fields.

    ``dropped`` names further fields to leave out, in lower case.
    """
    named = first_header(headers, b'connection').lower()
    if named in {b'', b'keep-alive', b'close'}:
        excluded = dropped
    else:
        listed_names = (option.strip() for option in named.split(b','))
        excluded = dropped.union(listed_names)
    return b''.join(
        b'%b: %b\r\n' % header
        for header in headers
        if header[0] not in _HOP_BY_HOP_FIELDS and header[0] not in excluded
    )


def encode_request_head(
    *,
    method: bytes,
    target: bytes,
    fields: bytes,
    body_bytes: int = 0,
) -> bytes:
    """Encode the head of a request; ``fields`` are complete header lines."""
    length = b''
    if body_bytes or method not in {b'GET', b'HEAD', b'DELETE', b'OPTIONS'}:
        length = b'content-length: %d\r\n' % body_bytes
    return b'%b %b HTTP/1.1\r\n%b%b\r\n' % (method, target, fields, length)


def encode_response(
    *,
    status: int,
    fields: bytes,
    body: bytes,
    closes: bool,
    has_body: bool = True,
) -> bytes:
    """Encode a response; ``fields`` are complete header lines.

    ``has_body`` is false for the response to HEAD, which has only the length
    of ``body``. ``closes`` announces that the connection will be closed.
    """
    reason = _REASON_BY_STATUS.get(status, b'Unknown')
    length = b''
    if status not in BODILESS_STATUSES:
        length = b'content-length: %d\r\n' % len(body)
    connection = b'connection: close\r\n' if closes else b''
    sent_body = body if has_body else b''
    return b'HTTP/1.1 %d %b\r\n%b%b%b\r\n%b' % (
        status,
        reason,
        fields,
        length,
        connection,
        sent_body,
    )
