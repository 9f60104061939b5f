"""One order while it is at the node beside its target."""

from asyncio import TimerHandle
from collections.abc import Callable
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import Sending, encode_request
from lovageshunt.links import RunAnswer, RunOrder
from lovageshunt.sidecar._dialect import HeaderNames

_MS_PER_SECOND: Final = 1000

Ended = Callable[[RunAnswer], None]


class Run:
    """One order at this node."""

    __slots__ = (
        'call_id',
        'order',
        'ended',
        'sending',
        'arrived_at',
        'sent_at',
        'overdue',
        'resent',
        'is_repeat',
    )

    def __init__(self, call_id: str, order: RunOrder, ended: Ended) -> None:
        """Begin in the queue."""
        self.call_id = call_id
        self.order = order
        self.ended: Ended | None = ended
        self.sending: Sending | None = None
        self.arrived_at = clock_now()
        self.sent_at = float(0)
        self.overdue: TimerHandle | None = None
        self.resent = False
        self.is_repeat = order.is_repeat

    def encoded(self, dialect: HeaderNames) -> bytes:
        """Return the request as the target gets it now."""
        order = self.order
        left = max(1, round((order.deadline - clock_now()) * _MS_PER_SECOND))
        fields = b'%b%b: %d\r\n%b: %b\r\n%b: %b\r\n' % (
            order.fields,
            dialect.time_left,
            left,
            dialect.target_id,
            order.target_id.encode(),
            dialect.caller_service,
            order.caller_service.encode(),
        )
        return encode_request(
            method=order.method,
            target=order.request_target,
            fields=fields,
            body=order.body,
        )
