"""The side of a link that accepts orders."""

from asyncio import BaseTransport, Transport, get_running_loop
from collections.abc import Callable
from logging import getLogger
from typing import Final, cast

from lovageshunt._memory_account import MemoryAccount
from lovageshunt._receiving import ReceivingProtocol
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._codec import decode_greeting, encode_message
from lovageshunt.links._frames import (
    Frame,
    FrameKind,
    FrameReader,
    encode_frame,
)
from lovageshunt.links._incoming_links import IncomingLinks
from lovageshunt.links._messages import Greeting
from lovageshunt.links._order_intake import OrderHandler, OrderIntake
from lovageshunt.links._recent_orders import OrderKey, RecentOrders

_log = getLogger(__name__)
#: How long a sender may take to reconnect before its calls are cancelled.
_RESUME_TIMEOUT_SECONDS: Final = 1.0
#: The most that is held of a frame before the greeting of a node, in bytes.
_MAX_FIRST_FRAME_BYTES: Final = 64 * 1024


class IncomingLink(ReceivingProtocol):
    """One link that another node opened; ``peer`` is its greeting.

    ``open_links`` are those of the node; the link is one while it is open.
    ``on_frame`` is called with greetings and with all frames of kinds that
    the link does not handle itself. ``account`` bounds what links hold of
    frames that are not complete, and of those that the peer does not read.
    """

    def __init__(
        self,
        *,
        handler: OrderHandler,
        recent_orders: RecentOrders,
        greeting: Greeting,
        open_links: IncomingLinks['IncomingLink'],
        on_frame: Callable[['IncomingLink', Frame], None],
        account: MemoryAccount | None = None,
    ) -> None:
        self._account = account or MemoryAccount()
        self._holding = self._account.open(self)
        self._unread_bytes = 0
        self._orders = OrderIntake(handler, recent_orders)
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
        # Tells of each byte that is not sent at once.
        self._transport.set_write_buffer_limits(high=0)
        hello = encode_message(self._greeting)
        self._transport.write(encode_frame(FrameKind.GREETING, 0, hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the sender's calls if it does not reconnect in time."""
        self._transport = None
        self._unread_bytes = 0
        self._reader = FrameReader()
        self._holding.close()
        sender = self.peer.incarnation if self.peer else ''
        self._open_links.discard(self, sender)
        get_running_loop().call_later(
            _RESUME_TIMEOUT_SECONDS, self._orders.abandon_all, self
        )

    def data_received(self, data: bytes) -> None:
        """Handle the received frames; close the link if one is malformed."""
        try:
            frames = self._reader.feed(data)
            # Those that are whole are counted by who handles them.
            self._count_held()
            for frame in frames:
                if self._transport is not None:
                    self._dispatch(frame)
            self._check_first_frame()
        except MalformedFrameError as error:
            _log.warning('closing a link: %s', error)
            self.close()

    def pause_writing(self) -> None:
        """Count what the peer has not read."""
        self._count_unread()

    def resume_writing(self) -> None:
        """Count nothing: the peer has read all."""
        self._unread_bytes = 0
        self._count_held()

    def give_up(self) -> None:
        """Refuse an order that is not whole; cut the link for anything else.

        The sender of a link that is cut connects anew, and gets the answers
        that it has not read.
        """
        self._account.refused_by_cause['link'] += 1
        _log.warning(
            'giving up what a link holds',
            extra={
                'peer': self.peer.node if self.peer else '',
                'partial_bytes': self._reader.held_bytes,
                'unread_bytes': self._unread_bytes,
            },
        )
        partial = None
        if self.peer is not None and not self._unread_bytes:
            partial = self._reader.skip_large()
        if partial is not None and partial.kind == FrameKind.ORDER:
            self._count_held()
            self._orders.refuse(self, self._key_of(partial))
            return
        self._reader = FrameReader()
        self._unread_bytes = 0
        self._count_held()
        if self._transport is not None:
            self._transport.abort()

    def send_frame(self, kind: FrameKind, payload: bytes = b'') -> None:
        """Send a frame that belongs to no call; drop it on a closed link."""
        self._write(encode_frame(kind, 0, payload))

    def close(self) -> None:
        """Close the link once all frames are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the link at once, in favour of a newer one."""
        _log.info(
            'closing a link in favour of a newer one',
            extra={'peer': self.peer.node if self.peer else ''},
        )
        if self._transport is not None:
            transport = self._transport
            self._transport = None
            transport.abort()

    def send_answer(self, stream: int, encoded: bytes) -> None:
        """Write an encoded answer; drop it if the link is closed."""
        self._write(encode_frame(FrameKind.ANSWER, stream, encoded))

    def _write(self, frame: bytes) -> None:
        if self._transport is not None:
            self._transport.write(frame)
            if self._unread_bytes:
                self._count_unread()

    def _check_first_frame(self) -> None:
        """Refuse a large frame of one that has not greeted."""
        if (
            self.peer is None
            and self._reader.held_bytes > _MAX_FIRST_FRAME_BYTES
        ):
            raise MalformedFrameError('the first frame is no greeting')

    def _count_held(self) -> None:
        """Count what the link holds of frames."""
        held = self._reader.held_bytes + self._unread_bytes
        self._holding.update(held, held)

    def _count_unread(self) -> None:
        if self._transport is not None:
            self._unread_bytes = self._transport.get_write_buffer_size()
            self._count_held()

    def _dispatch(self, frame: Frame) -> None:
        if frame.kind == FrameKind.ORDER:
            self._orders.accept(self, self._key_of(frame), frame)
        elif frame.kind == FrameKind.CANCEL:
            if self.peer is not None:
                self._orders.cancel(self._key_of(frame))
        elif frame.kind == FrameKind.PING:
            self.send_frame(FrameKind.PONG)
        elif frame.kind == FrameKind.GREETING:
            self._greet(decode_greeting(frame.payload), frame)
        else:
            self._on_frame(self, frame)

    def _key_of(self, frame: Frame) -> OrderKey:
        if self.peer is None:
            raise MalformedFrameError('received an order before the greeting')
        return self.peer.incarnation, frame.stream

    def _greet(self, peer: Greeting, frame: Frame) -> None:
        self.peer = peer
        self._open_links.assign(self, peer.incarnation)
        if self._transport is not None:
            self._on_frame(self, frame)
