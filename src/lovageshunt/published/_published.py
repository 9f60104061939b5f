"""Reads and watches the platform's configuration service.

The service is only read. ``GET /v1/values/NAME`` returns a JSON object with
``revision`` and ``value``; with ``after`` and ``wait_ms`` it waits until the
revision differs from ``after``, and returns 304 when it did not in that time.
"""

from typing import Final, Self

import orjson
from expression import Error, Ok, Result

from lovageshunt._record import Record
from lovageshunt.client import ExchangeFailure, HttpResponse, Transport
from lovageshunt.errors import PlatformUnavailableError

#: The published value that holds the rules in force.
PUBLISHED_RULES: Final = 'rules'
#: The published value that holds the list of VMs.
PUBLISHED_VMS: Final = 'vms'
#: Added to a watch's wait before the exchange counts as lost.
_GRACE_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000
_HTTP_OK: Final = 200
_HTTP_NOT_MODIFIED: Final = 304


class PublishedValue(Record):
    """A published value at one revision; ``document`` is decoded JSON.

    ``is_changed`` is false when a watch ended without a change.
    """

    __slots__ = ('revision', 'document', 'is_changed')

    def __init__(
        self,
        *,
        revision: int,
        document: object,
        is_changed: bool = True,
    ) -> None:
        """Take the revision and the value."""
        self.revision = revision
        self.document = document
        self.is_changed = is_changed

    @classmethod
    def from_answer(cls, body: bytes) -> Self:
        """Decode an answer; raises ``ValueError`` when it is none."""
        fields = orjson.loads(body)
        if not isinstance(fields, dict) or 'value' not in fields:
            raise ValueError('no object with revision and value')
        if not isinstance(fields.get('revision'), int):
            raise ValueError('no whole revision')
        return cls(revision=fields['revision'], document=fields['value'])


class PlatformReader:
    """Reads from the platform's addresses in turn; it never writes."""

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        transport: Transport,
        timeout_seconds: float = 2.0,
    ) -> None:
        """Keep the addresses (IP:PORT) and the transport."""
        self._addresses = addresses
        self._transport = transport
        self._timeout_seconds = timeout_seconds
        self._turn = 0
        #: How many calls this process has made to the platform.
        self.read_count = 0

    async def read(
        self,
        name: str,
    ) -> Result[PublishedValue, PlatformUnavailableError]:
        """Read one value now."""
        return await self._get(name, f'/v1/values/{name}', 0)

    async def watch(
        self,
        name: str,
        *,
        after: int,
        wait_seconds: float,
    ) -> Result[PublishedValue, PlatformUnavailableError]:
        """Wait until the value's revision differs from ``after``."""
        wait_ms = int(wait_seconds * _MS_PER_SECOND)
        target = f'/v1/values/{name}?after={after}&wait_ms={wait_ms}'
        return await self._get(name, target, wait_seconds, after)

    async def _get(
        self,
        name: str,
        target: str,
        wait_seconds: float,
        after: int = 0,
    ) -> Result[PublishedValue, PlatformUnavailableError]:
        address = self._addresses[self._turn % len(self._addresses)]
        self.read_count += 1
        exchange = await self._transport.send(
            address=address,
            method='GET',
            target=target,
            headers={},
            body=b'',
            timeout_seconds=self._timeout_seconds
            + wait_seconds
            + _GRACE_SECONDS * bool(wait_seconds),
        )
        reading = _reading_of(name, address, exchange, after)
        if reading.is_error():
            self._turn += 1
        return reading


def _reading_of(
    name: str,
    address: str,
    exchange: Result[HttpResponse, ExchangeFailure],
    after: int,
) -> Result[PublishedValue, PlatformUnavailableError]:
    if exchange.is_error():
        detail = exchange.error.detail
        return Error(PlatformUnavailableError(name, address, detail))
    answer = exchange.ok
    if answer.status == _HTTP_NOT_MODIFIED:
        return Ok(
            PublishedValue(revision=after, document=None, is_changed=False)
        )
    if answer.status != _HTTP_OK:
        detail = f'status {answer.status}'
        return Error(PlatformUnavailableError(name, address, detail))
    try:
        return Ok(PublishedValue.from_answer(answer.body))
    except ValueError as error:
        return Error(PlatformUnavailableError(name, address, str(error)))
