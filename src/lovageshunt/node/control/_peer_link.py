"""HTTP client for the admin listeners of other nodes."""

from typing import Final

import orjson
from expression import Result

from lovageshunt.client import ExchangeFailure, Transport, TransportResponse
from lovageshunt.node.control._envelope import Envelope, encode_envelope

EXCHANGE_PATH: Final = '/v1/exchange'
INQUIRY_PATH: Final = '/v1/inquiry'
HAND_OVER_PATH: Final = '/v1/handover'
_TIMEOUT_SECONDS: Final = 1.0
_HTTP_OK: Final = 200
#: Estimated size of the headers of a request and its answer.
_HEADER_BYTES: Final = 300


class PeerLink:
    """Posts JSON to peers.

    ``sent_bytes`` counts bodies, plus an estimate for headers.
    """

    def __init__(self, transport: Transport, token: str) -> None:
        """Send ``token`` as a bearer token, unless it is empty."""
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
    ) -> Result[TransportResponse, ExchangeFailure]:
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
        """Send an envelope; return the incarnation that accepted it.

        The incarnation is empty when the peer refused the envelope.
        """
        posted = await self.post(
            address,
            EXCHANGE_PATH,
            encode_envelope(envelope),
        )
        return posted.map(_incarnation_in)


def _incarnation_in(answer: TransportResponse) -> str:
    if answer.status != _HTTP_OK:
        return ''
    fields = orjson.loads(answer.body)
    return str(fields.get('incarnation', ''))
