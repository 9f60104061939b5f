"""Kept connections between nodes, each carrying many calls at a time."""

from lovageshunt.links._codec import decode_advice, encode_message
from lovageshunt.links._dialer import Dialer, LinkListener
from lovageshunt.links._frames import (
    Frame,
    FrameKind,
    FrameReader,
    decode_answer,
    decode_order,
    encode_answer,
    encode_frame,
    encode_order,
)
from lovageshunt.links._incoming import IncomingLink, OrderBook, OrderHandler
from lovageshunt.links._messages import (
    Advice,
    Greeting,
    RunAnswer,
    RunOrder,
)

__all__ = [
    'Advice',
    'Dialer',
    'Frame',
    'FrameKind',
    'FrameReader',
    'Greeting',
    'IncomingLink',
    'LinkListener',
    'OrderBook',
    'OrderHandler',
    'RunAnswer',
    'RunOrder',
    'decode_advice',
    'decode_answer',
    'decode_order',
    'encode_answer',
    'encode_frame',
    'encode_message',
    'encode_order',
]
