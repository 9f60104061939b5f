"""The library that callers and targets embed."""

from lovageshunt.client._asgi import (
    AsgiApp,
    AsgiScope,
    Inbound,
    ReadFault,
    Receive,
    Send,
    read_inbound,
    respond,
    until_disconnect,
)
from lovageshunt.client._transport import (
    ExchangeLost,
    LossKind,
    Transport,
    WholeAnswer,
)

__all__ = [
    'AsgiApp',
    'AsgiScope',
    'ExchangeLost',
    'Inbound',
    'LossKind',
    'ReadFault',
    'Receive',
    'Send',
    'Transport',
    'WholeAnswer',
    'read_inbound',
    'respond',
    'until_disconnect',
]
