"""Starts the orders that arrive on links, each of them once."""

from collections.abc import Callable
from functools import partial
from logging import getLogger
from typing import Any, Final, Protocol

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.links._frames import Frame, decode_order, encode_answer
from lovageshunt.links._messages import RunAnswer, RunOrder
from lovageshunt.links._recent_orders import (
    AcceptedOrder,
    OrderKey,
    RecentOrders,
)

_log = getLogger(__name__)
#: How long the sender of an order without room is told to wait, in ms.
_NO_ROOM_RETRY_MS: Final = 1000


class OrderHandler(Protocol):
    """Runs the orders that arrive on links."""

    def submit(
        self,
        order: RunOrder,
        ended: Callable[[RunAnswer], None],
        *,
        received_bytes: int = 0,
    ) -> Any:
        """Start an order; return a token for ``abandon``.

        ``ended`` is called once, unless the order is abandoned before.
        ``received_bytes`` is the memory that is held for it and that nobody
        else counts.
        """

    def abandon(self, token: Any) -> Outcome | None:
        """Cancel an order whose sender has cancelled it or is gone.

        Return the outcome of the order, for which ``ended`` is not called any
        more, or ``None`` if it goes on.
        """


class AnswerLink(Protocol):
    """A link that takes the answers to the orders that arrived on it."""

    def send_answer(self, stream: int, encoded: bytes) -> None:
        """Write an encoded answer; drop it if the link is closed."""


class OrderIntake:
    """Hands the orders of links to a handler, and its answers to links."""

    __slots__ = ('_handler', '_recent_orders')

    def __init__(
        self, handler: OrderHandler, recent_orders: RecentOrders
    ) -> None:
        self._handler = handler
        self._recent_orders = recent_orders

    def accept(self, link: AnswerLink, key: OrderKey, frame: Frame) -> None:
        """Start the order of a frame, unless it arrived before."""
        if self._has_arrived(link, key):
            return
        order = decode_order(frame.payload, clock_now())
        accepted = AcceptedOrder(link, order)
        self._recent_orders.by_key[key] = accepted
        token = self._handler.submit(
            order,
            partial(self._answer, key, accepted),
            received_bytes=len(frame.payload),
        )
        if accepted.answer is None:
            accepted.token = token

    def refuse(self, link: AnswerLink, key: OrderKey) -> None:
        """Answer an order that there is no room for, unless it arrived before.

        It is not whole, so that it has not run.
        """
        if self._has_arrived(link, key):
            return
        accepted = AcceptedOrder(link, None)
        self._recent_orders.by_key[key] = accepted
        refusal = RunAnswer(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.QUEUE_FULL,
            retry_after_ms=_NO_ROOM_RETRY_MS,
        )
        self._answer(key, accepted, refusal)

    def cancel(self, key: OrderKey) -> None:
        """Cancel an order that its sender has cancelled."""
        accepted = self._recent_orders.by_key.get(key)
        if accepted is not None:
            self._abandon(key, accepted)

    def abandon_all(self, link: AnswerLink) -> None:
        """Cancel the orders of a sender that did not reconnect."""
        for key, accepted in list(self._recent_orders.by_key.items()):
            if accepted.link is link:
                self._abandon(key, accepted)

    def _answer(
        self, key: OrderKey, accepted: AcceptedOrder, answer: RunAnswer
    ) -> None:
        """Send an answer on the link that the sender uses now; keep it."""
        encoded = encode_answer(answer)
        accepted.link.send_answer(key[1], encoded)
        self._recent_orders.note_answered(key, encoded, clock_now())

    def _has_arrived(self, link: AnswerLink, key: OrderKey) -> bool:
        """Return whether an order arrived before; answer it if it ended."""
        sender, stream = key
        earlier = self._recent_orders.find(key)
        if earlier is not None:
            earlier.link = link
            if earlier.answer is not None:
                link.send_answer(stream, earlier.answer)
            return True
        forgotten = self._recent_orders.answer_if_forgotten(key)
        if forgotten is None:
            return False
        _log.warning(
            'not running an order again whose answer is no longer kept',
            extra={'sender': sender, 'stream': stream},
        )
        link.send_answer(stream, forgotten)
        return True

    def _abandon(self, key: OrderKey, accepted: AcceptedOrder) -> None:
        """Cancel an order; note its outcome, in case it arrives again."""
        if accepted.token is None:
            return
        outcome = self._handler.abandon(accepted.token)
        if outcome is not None:
            answer = RunAnswer(
                outcome=outcome, reason=RefusalReason.CONNECTION_LOST
            )
            self._recent_orders.note_answered(
                key, encode_answer(answer), clock_now()
            )
