"""HTTP/1.1 on asyncio transports, parsed by a library.

It carries the requests of a sidecar: whole messages only, one at a time on a
connection, with no task of its own for each of them.
"""

from lovageshunt.http1._client import ClientConnection, Exchange
from lovageshunt.http1._limits import ServerLimits
from lovageshunt.http1._messages import (
    ExchangeEnd,
    Request,
    Response,
    encode_request,
    encode_response,
    first_header,
    forwarded_fields,
)
from lovageshunt.http1._pool import ConnectionPool, PendingExchange
from lovageshunt.http1._server import RequestHandler, ServerConnection

__all__ = [
    'ClientConnection',
    'ConnectionPool',
    'Exchange',
    'ExchangeEnd',
    'Request',
    'RequestHandler',
    'Response',
    'PendingExchange',
    'ServerConnection',
    'ServerLimits',
    'encode_request',
    'encode_response',
    'first_header',
    'forwarded_fields',
]
