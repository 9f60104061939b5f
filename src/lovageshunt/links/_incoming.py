"""The side of a link that accepts orders."""

from asyncio import BaseTransport, Transport, get_running_loop
from collections.abc import Callable
from functools import partial
from logging import getLogger
from time import monotonic
from typing import Any, Final, cast
from typing import Protocol as Interface

from lovageshunt._receive_buffers import ReceiveBuffers
from lovageshunt._receiving import ReceivingProtocol
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._codec import decode_greeting, encode_message
from lovageshunt.links._frames import (
    Frame,
    FrameKind,
    FrameReader,
    decode_order,
    encode_answer,
    encode_frame,
)
from lovageshunt.links._incoming_links import IncomingLinks
from lovageshunt.links._messages import Greeting, RunAnswer, RunOrder
from lovageshunt.links._recent_orders import (
    AcceptedOrder,
    OrderKey,
    RecentOrders,
)

_log = getLogger(__name__)
#: How long a sender may take to reconnect before its calls are cancelled.
_RESUME_TIMEOUT_SECONDS: Final = 1.0
#: The most that is held of a frame before the greeting of a node, in bytes.
_MAX_FIRST_FRAME_BYTES: Final = 64 * 1024


class OrderHandler(Interface):
    """Runs the orders that arrive on links."""

    def submit(
        self,
        order: RunOrder,
        ended: Callable[[RunAnswer], None],
    ) -> Any:
        """Start an order; return a token for ``abandon``.

        ``ended`` is called once, unless the order is abandoned before.
        """

    def abandon(self, token: Any) -> Outcome | None:
        """Cancel an order whose sender has cancelled it or is gone.

        Return the outcome of the order, for which ``ended`` is not called any
        more, or ``None`` if it goes on.
        """


class IncomingLink(ReceivingProtocol):
    """One link that another node opened; ``peer`` is its greeting.

    ``open_links`` are those of the node; the link is one while it is open.
    ``on_frame`` is called with greetings and with all frames of kinds that
    the link does not handle itself. ``buffers`` bounds what links hold of
    frames that are not complete; ``last_progress_at`` is in seconds on the
    monotonic clock.
    """

    def __init__(
        self,
        *,
        handler: OrderHandler,
        recent_orders: RecentOrders,
        greeting: Greeting,
        open_links: IncomingLinks['IncomingLink'],
        on_frame: Callable[['IncomingLink', Frame], None],
        buffers: ReceiveBuffers | None = None,
    ) -> None:
        self._buffers = buffers or ReceiveBuffers()
        self._held_bytes = 0
        self.last_progress_at = monotonic()
        self._handler = handler
        self._recent_orders = recent_orders
        self._greeting = greeting
        self._open_links = open_links
        self._on_frame = on_frame
        self._transport: Transport | None = None
        self._reader = FrameReader()
        self.peer: Greeting | None = None

    @property
    def is_open(self) -> bool:
        """Whether frames can be written."""
        return self._transport is not None

    def connection_made(self, transport: BaseTransport) -> None:
        """Send this node's greeting."""
        self._transport = cast(Transport, transport)
        self._open_links.add(self)
        hello = encode_message(self._greeting)
        self._transport.write(encode_frame(FrameKind.GREETING, 0, hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the sender's calls if it does not reconnect in time."""
        self._transport = None
        self._buffers.release_all(self)
        sender = self.peer.incarnation if self.peer else ''
        self._open_links.discard(self, sender)
        get_running_loop().call_later(
            _RESUME_TIMEOUT_SECONDS, self._abandon_all
        )

    def data_received(self, data: bytes) -> None:
        """Handle the received frames; close the link if one is malformed."""
        self.last_progress_at = monotonic()
        try:
            for frame in self._reader.feed(data):
                if self._transport is not None:
                    self._dispatch(frame)
            self._check_first_frame()
        except MalformedFrameError as error:
            _log.warning('closing a link: %s', error)
            self.close()
        self._count_held()

    @property
    def can_be_given_up(self) -> bool:
        """Whether the link holds a part of a frame."""
        return self._transport is not None and self._held_bytes > 0

    def give_up(self) -> None:
        """Cut the link, so that its sender sends the frame again."""
        _log.warning(
            'cutting a link that holds too much of a frame',
            extra={'held_bytes': self._held_bytes},
        )
        self._buffers.refused_by_cause['link'] += 1
        self._reader = FrameReader()
        if self._transport is not None:
            self._transport.abort()

    def send_frame(self, kind: FrameKind, payload: bytes = b'') -> None:
        """Send a frame that belongs to no call; drop it on a closed link."""
        if self._transport is not None:
            self._transport.write(encode_frame(kind, 0, payload))

    def close(self) -> None:
        """Close the link once all frames are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the link at once: its sender has opened a newer one."""
        _log.info(
            'closing a link whose sender has opened another',
            extra={'peer': self.peer.node if self.peer else ''},
        )
        if self._transport is not None:
            transport = self._transport
            self._transport = None
            transport.abort()

    def answer(
        self, key: OrderKey, accepted: AcceptedOrder, answer: RunAnswer
    ) -> None:
        """Send an answer on the link that the sender uses now; keep it."""
        encoded = encode_answer(answer)
        accepted.link.send_answer(key[1], encoded)
        self._recent_orders.note_answered(key, encoded, clock_now())

    def send_answer(self, stream: int, encoded: bytes) -> None:
        """Write an encoded answer; drop it if the link is closed."""
        if self._transport is not None:
            frame = encode_frame(FrameKind.ANSWER, stream, encoded)
            self._transport.write(frame)

    def _check_first_frame(self) -> None:
        """Refuse a large frame of one that has not greeted."""
        if (
            self.peer is None
            and self._reader.held_bytes > _MAX_FIRST_FRAME_BYTES
        ):
            raise MalformedFrameError('the first frame is no greeting')

    def _count_held(self) -> None:
        """Count what the link holds of a frame."""
        before = self._held_bytes
        self._held_bytes = self._reader.held_bytes
        if self._held_bytes > before:
            self._buffers.hold(self, self._held_bytes - before)
        elif self._held_bytes < before:
            self._buffers.release(self, before - self._held_bytes)

    def _dispatch(self, frame: Frame) -> None:
        if frame.kind == FrameKind.ORDER:
            self._accept_order(frame)
        elif frame.kind == FrameKind.CANCEL:
            self._cancel(frame.stream)
        elif frame.kind == FrameKind.PING:
            self.send_frame(FrameKind.PONG)
        elif frame.kind == FrameKind.GREETING:
            self._greet(decode_greeting(frame.payload), frame)
        else:
            self._on_frame(self, frame)

    def _greet(self, peer: Greeting, frame: Frame) -> None:
        self.peer = peer
        self._open_links.assign(self, peer.incarnation)
        if self._transport is not None:
            self._on_frame(self, frame)

    def _accept_order(self, frame: Frame) -> None:
        if self.peer is None:
            raise MalformedFrameError('received an order before the greeting')
        key = (self.peer.incarnation, frame.stream)
        earlier = self._recent_orders.find(key)
        if earlier is not None:
            earlier.link = self
            if earlier.answer is not None:
                self.send_answer(frame.stream, earlier.answer)
            return
        forgotten = self._recent_orders.answer_if_forgotten(key)
        if forgotten is not None:
            _log.warning(
                'not running an order again whose answer is no longer kept',
                extra={'peer': self.peer.node, 'stream': frame.stream},
            )
            self.send_answer(frame.stream, forgotten)
            return
        order = decode_order(frame.payload, clock_now())
        accepted = AcceptedOrder(self, order)
        self._recent_orders.by_key[key] = accepted
        token = self._handler.submit(order, partial(self.answer, key, accepted))
        if accepted.answer is None:
            accepted.token = token

    def _cancel(self, stream: int) -> None:
        if self.peer is None:
            return
        key = (self.peer.incarnation, stream)
        accepted = self._recent_orders.by_key.get(key)
        if accepted is not None:
            self._abandon(key, accepted)

    def _abandon_all(self) -> None:
        """Cancel the calls of a sender that did not reconnect."""
        for key, accepted in list(self._recent_orders.by_key.items()):
            if accepted.link is self:
                self._abandon(key, accepted)

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
