"""Collects requests from the bytes that a client sends, within limits."""

from enum import StrEnum
from types import MappingProxyType
from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from lovageshunt._memory_account import FIELD_BYTES, REQUEST_BYTES
from lovageshunt.http1._limits import ServerLimits
from lovageshunt.http1._messages import Header, Request
from lovageshunt.http1._upgrade import encode_head_without_upgrade

_CONNECT: Final = b'CONNECT'
#: Bytes of a head that its limit does not count, such as those of line ends.
_HEAD_ALLOWANCE_BYTES: Final = 4096
#: The characters of a field's line besides its name and value, in bytes.
_FIELD_FRAMING_BYTES: Final = len(b': \r\n')
#: How many bytes of framing a chunked body may have for each of its own.
_MAX_FRAMING_RATIO: Final = 16


class RequestFault(StrEnum):
    """Why what a client sends is no request that is served."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head'
    BODY_TOO_LARGE = 'body'
    FRAMING_TOO_LARGE = 'framing'


#: The status that answers each fault.
STATUS_BY_FAULT: Final = MappingProxyType(
    {
        RequestFault.MALFORMED: 400,
        RequestFault.HEAD_TOO_LARGE: 431,
        RequestFault.BODY_TOO_LARGE: 413,
        RequestFault.FRAMING_TOO_LARGE: 400,
    },
)


class RequestReader:
    """Turns received bytes into requests.

    ``fault`` tells why nothing more is read. ``held_bytes`` were received of a
    request that is not complete, which takes ``taken_bytes`` of memory;
    ``is_reading`` is true if one has begun, ``is_in_head`` until its head is
    complete. ``expects_continue`` is true if its client waits for
    ``100 Continue``.
    """

    __slots__ = (
        '_limits',
        '_parser',
        '_target',
        '_headers',
        '_body',
        '_head_size',
        '_is_stuck',
        '_unparsed_bytes',
        '_complete',
        'fault',
        'held_bytes',
        'is_reading',
        'is_in_head',
        'expects_continue',
    )

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits
        self._parser = HttpRequestParser(self)
        self._complete: list[tuple[Request, int]] = []
        self.fault: RequestFault | None = None
        self.held_bytes = 0
        self._unparsed_bytes = 0
        #: Whether the last read completed nothing, not even a field.
        self._is_stuck = False
        self._begin()

    @property
    def taken_bytes(self) -> int:
        """The memory that a request takes that is not complete."""
        if not self.is_reading:
            return self.held_bytes
        return self._parsed_bytes + self._unparsed_bytes

    def feed(self, data: bytes) -> list[tuple[Request, int]]:
        """Return the requests that the data completes.

        Each comes with the memory that it takes, in bytes.
        """
        before = self._head_size + len(self._body)
        self.held_bytes += len(data)
        received = len(data)
        while data and self.fault is None:
            try:
                self._parser.feed_data(data)
            except HttpParserUpgrade as upgrade:
                data = self._without_upgrade(data[upgrade.args[0] :])
                continue
            except HttpParserError:
                self._refuse(RequestFault.MALFORMED)
            break
        self._note_unparsed(received, before)
        if not self._complete:
            self._check_unfinished()
        complete = self._complete
        self._complete = []
        return complete

    def discard(self) -> None:
        """Release what is held, and read nothing more."""
        self._refuse(RequestFault.MALFORMED)
        self._begin()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the state of the message."""
        held_bytes = self.held_bytes
        unparsed_bytes = self._unparsed_bytes
        self._begin()
        self.held_bytes = held_bytes
        self._unparsed_bytes = unparsed_bytes
        self.is_reading = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header, also one that follows a chunked body."""
        self._headers.append((name.lower(), text))
        self._count_head(len(name) + len(text) + _FIELD_FRAMING_BYTES)

    def on_headers_complete(self) -> None:
        """Note whether the client waits before it sends the body."""
        self.is_in_head = False
        if self._parser.should_upgrade():
            return
        for name, text in self._headers:
            if name == b'expect' and text.lower() == b'100-continue':
                self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if len(self._body) + len(body) > self._limits.body_bytes:
            self._refuse(RequestFault.BODY_TOO_LARGE)
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Collect the request."""
        if self.fault is not None or self._parser.should_upgrade():
            return
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=self._body,
            keeps_alive=self._parser.should_keep_alive(),
        )
        self._complete.append((request, self._parsed_bytes))
        self._begin()

    def _begin(self) -> None:
        self._target = b''
        self._headers: list[Header] = []
        self._body = bytearray()
        self._head_size: int = 0
        self._unparsed_bytes = 0
        self.held_bytes = 0
        self.is_reading = False
        self.is_in_head = True
        self.expects_continue = False

    @property
    def _parsed_bytes(self) -> int:
        """The memory of what the parser has handed over."""
        fields = len(self._headers) * FIELD_BYTES
        return REQUEST_BYTES + self._head_size + fields + len(self._body)

    def _note_unparsed(self, received: int, before: int) -> None:
        """Note what the parser holds of what was received.

        It had handed over ``before`` bytes of the request until the last read,
        whose framing of chunks counts as held, too.
        """
        handed_over = self._head_size + len(self._body)
        unparsed = received - handed_over
        if not self._complete:
            handed_over -= before
            unparsed += self._unparsed_bytes + before
        self._is_stuck = not self._complete and not handed_over
        if not self._is_stuck:
            unparsed = min(unparsed, received)
        self._unparsed_bytes = max(0, unparsed) if self.is_reading else 0

    def _count_head(self, count: int) -> None:
        self._head_size += count
        if self._head_size > self._limits.head_bytes:
            self._refuse(RequestFault.HEAD_TOO_LARGE)

    def _check_unfinished(self) -> None:
        """Bound what the parser holds or skips without a word.

        It hands over a header only as a whole, skips empty lines before a
        request, and reads the framing of chunks by itself.
        """
        most = self._limits.head_bytes + _HEAD_ALLOWANCE_BYTES
        if self.is_in_head:
            if self.held_bytes > most:
                self._refuse(RequestFault.HEAD_TOO_LARGE)
            return
        is_endless = self._is_stuck and self._unparsed_bytes > most
        longest = most + len(self._body) * _MAX_FRAMING_RATIO
        if is_endless or self.held_bytes > longest:
            self._refuse(RequestFault.FRAMING_TOO_LARGE)

    def _refuse(self, fault: RequestFault) -> None:
        if self.fault is None:
            self.fault = fault

    def _without_upgrade(self, rest: bytes) -> bytes:
        """Return what is to be parsed instead of a request with an upgrade.

        The parser ends such a request with its head and leaves ``rest`` for
        the other protocol. As no upgrade is supported, the request is parsed
        again without the offer, by a new parser, and keeps its body.
        """
        method = self._parser.get_method()
        if method == _CONNECT:
            self._refuse(RequestFault.MALFORMED)
            return b''
        head = encode_head_without_upgrade(
            method=method,
            target=self._target,
            version=self._parser.get_http_version(),
            headers=self._headers,
        )
        self._parser = HttpRequestParser(self)
        return head + rest
