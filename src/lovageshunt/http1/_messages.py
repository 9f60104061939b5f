"""Whole messages, and how they are written."""

from collections.abc import Iterable
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from lovageshunt._record import Record

#: Header fields that concern one connection only, in lower case.
_CONNECTION_FIELDS: Final = frozenset(
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
#: Statuses whose answers have no body and no length.
BODILESS: Final = frozenset((204, 304))

Header = tuple[bytes, bytes]


class Request(Record):
    """A whole request. ``target`` is the request target as it was sent.

    ``headers`` have lower-case names, in the order in which they came.
    """

    __slots__ = ('method', 'target', 'headers', 'body', 'keeps_alive')

    def __init__(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: list[Header],
        body: bytes = b'',
        keeps_alive: bool = True,
    ) -> None:
        """Take every part by name."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, or nothing."""
        return first_header(self.headers, name)


class Response(Record):
    """A whole response; ``headers`` have lower-case names."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: list[Header],
        body: bytes = b'',
    ) -> None:
        """Take every part by name."""
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, or nothing."""
        return first_header(self.headers, name)


class ExchangeEnd(StrEnum):
    """How an exchange ended.

    ``COMPLETE``: the complete response was received. ``UNSENT``: no byte of
    the request was written. ``CLOSED``: the peer closed a reused connection
    before the first byte of a response. ``INCOMPLETE``: the response was
    lost, truncated, malformed or that of another request. ``CANCELLED``: this
    side cancelled the exchange.
    """

    COMPLETE = 'whole'
    UNSENT = 'unsent'
    CLOSED = 'closed'
    INCOMPLETE = 'cut'
    CANCELLED = 'cancelled'


def first_header(headers: Iterable[Header], name: bytes) -> bytes:
    """Return the first header of a lower-case name, or nothing."""
    for field, text in headers:
        if field == name:
            return text
    return b''


def forwarded_fields(
    headers: list[Header],
    dropped: frozenset[bytes],
) -> bytes:
    """Return header lines to pass on, without those of one connection.

    ``dropped`` names further fields that are left out, in lower case.
    """
    named = first_header(headers, b'connection').lower()
    if named in {b'', b'keep-alive', b'close'}:
        unwanted = dropped
    else:
        listed = (option.strip() for option in named.split(b','))
        unwanted = dropped.union(listed)
    return b''.join(
        b'%b: %b\r\n' % header
        for header in headers
        if header[0] not in _CONNECTION_FIELDS and header[0] not in unwanted
    )


def encode_request(
    *,
    method: bytes,
    target: bytes,
    fields: bytes,
    body: bytes,
) -> bytes:
    """Write a request; ``fields`` are whole header lines."""
    length = b''
    if body or method not in {b'GET', b'HEAD', b'DELETE', b'OPTIONS'}:
        length = b'content-length: %d\r\n' % len(body)
    return b'%b %b HTTP/1.1\r\n%b%b\r\n%b' % (
        method,
        target,
        fields,
        length,
        body,
    )


def encode_response(
    *,
    status: int,
    fields: bytes,
    body: bytes,
    closes: bool,
    has_body: bool = True,
) -> bytes:
    """Write a response; ``fields`` are whole header lines.

    ``has_body`` is false for the answer to HEAD, which tells only a length.
    """
    reason = _REASON_BY_STATUS.get(status, b'Unknown')
    length = b''
    if status not in BODILESS:
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
