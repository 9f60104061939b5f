"""One order at the node of the target that runs it."""

from asyncio import TimerHandle
from collections.abc import Callable
from typing import Final

from lovageshunt._memory_account import (
    CALL_BYTES,
    COPIED_BYTES,
    Holding,
    MemoryAccount,
    Use,
)
from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import ExchangeEnd, PendingExchange, encode_request_head
from lovageshunt.links import RunAnswer, RunOrder
from lovageshunt.sidecar._header_names import HeaderNames

_MS_PER_SECOND: Final = 1000

EndedCallback = Callable[[RunAnswer], None]


class Run:
    """One order, from its arrival at this node to its answer.

    ``ended`` is called with the answer; it is ``None`` once called, or if
    the order was abandoned. ``sending`` is the exchange with the target, if
    the order left the queue, ``lost_as`` how the target's connection ended, if
    it did without a response, ``overdue`` the timer that cancels it after the
    deadline. ``arrived_at`` and ``sent_at`` are in seconds on the process's
    clock. ``resent`` is whether a closed connection caused a second sending.

    The order takes ``received_bytes`` that nobody else counts in ``account``.
    ``on_evicted`` is called if there is too little memory to let it wait.
    """

    __slots__ = (
        'call_id',
        'order',
        'ended',
        'sending',
        'lost_as',
        'arrived_at',
        'sent_at',
        'overdue',
        'resent',
        'is_repeat',
        '_received_bytes',
        '_on_evicted',
        '_holding',
    )

    def __init__(
        self,
        call_id: str,
        order: RunOrder,
        ended: EndedCallback,
        *,
        on_evicted: Callable[['Run'], None],
        account: MemoryAccount,
        received_bytes: int = 0,
    ) -> None:
        self.call_id = call_id
        self.order = order
        self.ended: EndedCallback | None = ended
        self.sending: PendingExchange | None = None
        self.lost_as: ExchangeEnd | None = None
        self.arrived_at = clock_now()
        self.sent_at = float(0)
        self.overdue: TimerHandle | None = None
        self.resent = False
        self.is_repeat = order.is_repeat
        self._received_bytes = received_bytes
        self._on_evicted = on_evicted
        use = Use.WAITING if order.importance > 0 else Use.INNER
        self._holding: Holding = account.open(self, use)

    def hold_waiting(self) -> None:
        """Count the order; it may be evicted within this call and later."""
        order = self.order
        held = CALL_BYTES + self._received_bytes
        releasable = CALL_BYTES + len(order.body) + len(order.fields)
        self._holding.update(held, max(held, releasable))

    def hold_running(self) -> None:
        """Count the order and the copy of it that is being sent."""
        copied = min(len(self.order.body), COPIED_BYTES)
        self._holding.update(CALL_BYTES + self._received_bytes + copied)

    def release(self) -> None:
        """Count nothing any more."""
        self._holding.close()

    def give_up(self) -> None:
        """Refuse the order, which was not sent."""
        self._on_evicted(self)

    def note_resent(self) -> None:
        """Record that the order is sent again to the same target."""
        self.resent = True
        self.is_repeat = True

    def cancel_exchange(self) -> None:
        """Cancel the exchange with the target, if it has begun."""
        if self.sending is not None:
            self.sending.cancel()

    def encoded_head(self, header_names: HeaderNames) -> bytes:
        """Encode the head of the request, with the time left until then."""
        order = self.order
        left = max(1, round((order.deadline - clock_now()) * _MS_PER_SECOND))
        fields = b'%b%b: %d\r\n%b: %b\r\n%b: %b\r\n' % (
            order.fields,
            header_names.time_left,
            left,
            header_names.target_id,
            order.target_id.encode(),
            header_names.caller_service,
            order.caller_service.encode(),
        )
        return encode_request_head(
            method=order.method,
            target=order.request_target,
            fields=fields,
            body_bytes=len(order.body),
        )
