"""Recognises requests of equal content, whoever sends them and where.

Each attempt has an id of its own, so that a request that comes again is known
by what a target is given to run: method, host, target and body. The calling
service is left out, as it changes with the node that the request is sent to.
"""

from typing import Final

from xxhash import xxh3_64

from lovageshunt._sending import Buffer
from lovageshunt.http1 import Request
from lovageshunt.links import RunOrder

_HOST_FIELD: Final = b'\r\nhost: '


def fingerprint_of_request(request: Request) -> str:
    """Return a hash of the content of a request."""
    host = request.header(b'host')
    return _fingerprint(request.method, host, request.target, request.body)


def fingerprint_of_order(order: RunOrder) -> str:
    """Return the hash of the request that an order was made for."""
    fields = b'\r\n%b' % order.fields
    host = fields.partition(_HOST_FIELD)[2].partition(b'\r\n')[0]
    return _fingerprint(order.method, host, order.request_target, order.body)


def _fingerprint(
    method: bytes, host: bytes, target: bytes, body: Buffer
) -> str:
    digest = xxh3_64(b'%b %b %b ' % (method, host.lower(), target))
    digest.update(body)
    return digest.hexdigest()
