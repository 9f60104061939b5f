"""Reads and watches the platform's configuration service.

The service is only read. ``GET /v1/values/NAME`` returns a JSON object with
``revision`` and ``value``. With ``after`` and ``wait_ms`` it waits until the
revision differs from ``after``, and returns 304 if it does not within
``wait_ms``.
"""

from typing import Final, Self

import orjson
from expression import Error, Ok, Result

from lovageshunt._record import Record
from lovageshunt.client import ExchangeFailure, Transport, TransportResponse
from lovageshunt.errors import PlatformUnavailableError

#: The name of the value that holds the rules in force.
PUBLISHED_RULES: Final = 'rules'
#: The name of the value that holds the list of VMs.
PUBLISHED_VMS: Final = 'vms'
#: Added to the timeout of a watch, beyond the wait that it asks for.
_GRACE_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000
_HTTP_OK: Final = 200
_HTTP_NOT_MODIFIED: Final = 304


class PublishedValue(Record):
    """A published value at one revision; ``document`` is decoded JSON.

    ``is_changed`` is false if a watch ended without a change; ``document``
    is None then.
    """

    __slots__ = ('revision', 'document', 'is_changed')

    def __init__(
        self,
        *,
        revision: int,
        document: object,
        is_changed: bool = True,
    ) -> None:
        self.revision = revision
        self.document = document
        self.is_changed = is_changed

    @classmethod
    def from_body(cls, body: bytes) -> Self:
        """Decode a response body; raises ``ValueError`` if malformed."""
        fields = orjson.loads(body)
        if not isinstance(fields, dict) or 'value' not in fields:
            raise ValueError('expected a JSON object with revision and value')
        if not isinstance(fields.get('revision'), int):
            raise ValueError('expected an integer revision')
        return cls(revision=fields['revision'], document=fields['value'])


class PlatformReader:
    """Reads published values from the platform; it never writes.

    ``addresses`` are IP:PORT; after a failed read the next one is used.
    ``timeout_seconds`` is that of a read without a wait.
    """

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        transport: Transport,
        timeout_seconds: float = 2.0,
    ) -> None:
        self._addresses = addresses
        self._transport = transport
        self._timeout_seconds = timeout_seconds
        self._address_index = 0
        #: The number of requests sent to the platform so far.
        self.read_count = 0

    async def read(
        self,
        name: str,
    ) -> Result[PublishedValue, PlatformUnavailableError]:
        """Read the current revision of one value."""
        return await self._get(name, f'/v1/values/{name}', 0)

    async def watch(
        self,
        name: str,
        *,
        after: int,
        wait_seconds: float,
    ) -> Result[PublishedValue, PlatformUnavailableError]:
        """Wait until the value's revision differs from ``after``.

        Returns an unchanged value after ``wait_seconds``.
        """
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
        address = self._addresses[self._address_index % len(self._addresses)]
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
        result = _result_of(name, address, exchange, after)
        if result.is_error():
            self._address_index += 1
        return result


def _result_of(
    name: str,
    address: str,
    exchange: Result[TransportResponse, ExchangeFailure],
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
        detail = f'expected HTTP status 200, got {answer.status}'
        return Error(PlatformUnavailableError(name, address, detail))
    try:
        return Ok(PublishedValue.from_body(answer.body))
    except ValueError as error:
        return Error(PlatformUnavailableError(name, address, str(error)))
