"""HTTP/1.1 client and server on asyncio transports, parsed by httptools.

It serves the sidecar: messages are complete before they are handed over, a
connection processes one request at a time, and no task is started per request.
"""

from lovageshunt.http1._client import ClientConnection, Exchange
from lovageshunt.http1._limits import (
    ResponseBuffers,
    ResponseLimits,
    ServerLimits,
)
from lovageshunt.http1._messages import (
    ExchangeEnd,
    Request,
    Response,
    encode_request_head,
    encode_response,
    first_header,
    forwarded_fields,
)
from lovageshunt.http1._open_connections import OpenConnections
from lovageshunt.http1._pool import ConnectionPool, PendingExchange
from lovageshunt.http1._server import RequestHandler, ServerConnection

__all__ = [
    'ClientConnection',
    'ConnectionPool',
    'Exchange',
    'ExchangeEnd',
    'OpenConnections',
    'Request',
    'RequestHandler',
    'Response',
    'ResponseBuffers',
    'ResponseLimits',
    'PendingExchange',
    'ServerConnection',
    'ServerLimits',
    'encode_request_head',
    'encode_response',
    'first_header',
    'forwarded_fields',
]
