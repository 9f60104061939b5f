"""Sends to the admin sides of other nodes over HTTP."""

from typing import Final

import orjson
from expression import Result

from lovageshunt.client import ExchangeFailure, HttpResponse, Transport
from lovageshunt.node.control._envelope import Envelope, encode_envelope

EXCHANGE_PATH: Final = '/v1/exchange'
INQUIRY_PATH: Final = '/v1/inquiry'
HAND_OVER_PATH: Final = '/v1/handover'
_TIMEOUT_SECONDS: Final = 1.0
_HTTP_OK: Final = 200
#: What the headers of a request and its answer take on the wire.
_HEADER_BYTES: Final = 300


class PeerLink:
    """Speaks to peers; counts the bytes that it sends."""

    def __init__(self, transport: Transport, token: str) -> None:
        """Keep the transport and the token that admin sides want."""
        self._transport = transport
        self._headers = {'content-type': 'application/json'}
        if token:
            self._headers['authorization'] = f'Bearer {token}'
        self.sent_bytes = 0

    async def post(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout_seconds: float = _TIMEOUT_SECONDS,
    ) -> Result[HttpResponse, ExchangeFailure]:
        """Post JSON to a peer's admin address (IP:PORT)."""
        self.sent_bytes += len(body) + _HEADER_BYTES
        return await self._transport.send(
            address=address,
            method='POST',
            target=path,
            headers=self._headers,
            body=body,
            timeout_seconds=timeout_seconds,
        )

    async def exchange(
        self,
        address: str,
        envelope: Envelope,
    ) -> Result[str, ExchangeFailure]:
        """Send an envelope; return the incarnation that took it."""
        posted = await self.post(
            address,
            EXCHANGE_PATH,
            encode_envelope(envelope),
        )
        return posted.map(_incarnation_in)


def _incarnation_in(answer: HttpResponse) -> str:
    if answer.status != _HTTP_OK:
        return ''
    fields = orjson.loads(answer.body)
    return str(fields.get('incarnation', ''))
