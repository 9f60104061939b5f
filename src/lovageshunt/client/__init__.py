"""The client library that callers, targets and nodes embed."""

from lovageshunt.client._asgi import (
    AsgiApp,
    AsgiScope,
    InboundRequest,
    ReadFailure,
    Receive,
    Send,
    read_inbound,
    respond,
    run_until_disconnect,
)
from lovageshunt.client._client import Client
from lovageshunt.client._engine import Engine
from lovageshunt.client._inbound import InboundCalls, scope_of
from lovageshunt.client._messages import Answer, Call, call_error
from lovageshunt.client._options import ClientOptions
from lovageshunt.client._scope import CallScope
from lovageshunt.client._transport import (
    ExchangeFailure,
    ExchangeFailureKind,
    Transport,
    TransportResponse,
)
from lovageshunt.client._view import (
    ACCOUNT_PATH,
    VIEW_PATH,
    View,
    encode_view,
)

__all__ = [
    'ACCOUNT_PATH',
    'VIEW_PATH',
    'Answer',
    'AsgiApp',
    'AsgiScope',
    'Call',
    'CallScope',
    'Client',
    'ClientOptions',
    'Engine',
    'ExchangeFailure',
    'InboundRequest',
    'InboundCalls',
    'ExchangeFailureKind',
    'ReadFailure',
    'Receive',
    'Send',
    'Transport',
    'View',
    'TransportResponse',
    'call_error',
    'encode_view',
    'read_inbound',
    'respond',
    'scope_of',
    'run_until_disconnect',
]
