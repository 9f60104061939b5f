"""Persistent connections between nodes; each multiplexes many calls."""

from lovageshunt.links._codec import (
    decode_demand,
    decode_leaving,
    decode_outage,
    decode_pulse,
    decode_subscription,
    encode_demand,
    encode_message,
)
from lovageshunt.links._compression import compress, decompress
from lovageshunt.links._dialer import Dialer, LinkListener
from lovageshunt.links._fleet_part import decode_part, encode_part
from lovageshunt.links._frames import (
    Frame,
    FrameKind,
    FrameReader,
    decode_answer,
    decode_load,
    decode_order,
    encode_answer,
    encode_frame,
    encode_load,
    encode_order,
)
from lovageshunt.links._incoming import IncomingLink
from lovageshunt.links._incoming_links import IncomingLinks
from lovageshunt.links._messages import (
    DemandReport,
    Greeting,
    LeavingNotice,
    OutageNotice,
    PlatformPulse,
    RunAnswer,
    RunOrder,
    Subscription,
    TargetLoadReport,
)
from lovageshunt.links._order_intake import OrderHandler
from lovageshunt.links._recent_orders import RecentOrders

__all__ = [
    'Dialer',
    'Frame',
    'FrameKind',
    'FrameReader',
    'Greeting',
    'IncomingLink',
    'IncomingLinks',
    'LeavingNotice',
    'LinkListener',
    'OutageNotice',
    'PlatformPulse',
    'Subscription',
    'TargetLoadReport',
    'DemandReport',
    'RecentOrders',
    'OrderHandler',
    'RunAnswer',
    'RunOrder',
    'compress',
    'decode_answer',
    'decode_load',
    'decode_demand',
    'decode_leaving',
    'decode_outage',
    'decode_order',
    'decode_part',
    'decode_pulse',
    'decode_subscription',
    'decompress',
    'encode_answer',
    'encode_demand',
    'encode_frame',
    'encode_load',
    'encode_message',
    'encode_order',
    'encode_part',
]
