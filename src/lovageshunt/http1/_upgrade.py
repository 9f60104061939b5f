"""Removes the offer of another protocol from the head of a request."""

from typing import Final

from lovageshunt.http1._messages import Header

_CONNECTION: Final = b'connection'
#: The fields of an offer, which are options of the connection field too.
_OFFER_FIELDS: Final = frozenset((b'upgrade', b'http2-settings'))


def encode_head_without_upgrade(
    *,
    method: bytes,
    target: bytes,
    version: str,
    headers: list[Header],
) -> bytes:
    """Encode the head of a request without its offer to upgrade.

    ``version`` is that of HTTP, as in ``1.1``. The names in ``headers`` are in
    lower case.
    """
    fields = b''.join(
        b'%b: %b\r\n' % (name, _without_offer(name, text))
        for name, text in headers
        if name not in _OFFER_FIELDS
    )
    line = b'%b %b HTTP/%b\r\n' % (method, target, version.encode())
    return b'%b%b\r\n' % (line, fields)


def _without_offer(name: bytes, text: bytes) -> bytes:
    if name != _CONNECTION:
        return text
    options = (option.strip() for option in text.split(b','))
    return b', '.join(
        option for option in options if option.lower() not in _OFFER_FIELDS
    )
