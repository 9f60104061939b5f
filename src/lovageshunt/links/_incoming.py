"""The side of a link that takes orders."""

from asyncio import BaseTransport, Protocol, Transport, get_running_loop
from collections import deque
from collections.abc import Callable
from functools import partial
from logging import getLogger
from typing import Any, Final, cast
from typing import Protocol as Interface

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
from lovageshunt.links._messages import Greeting, RunAnswer, RunOrder

_log = getLogger(__name__)
#: How long an answer is kept for a sender whose link broke, in seconds:
#: longer than a silent link is noticed and made anew.
_KEPT_SECONDS: Final = 4.0
#: How long the calls of a lost link run on before they are cancelled, in
#: seconds.
_ORPHAN_SECONDS: Final = 1.0


#: An order's name: the incarnation of its sender, and its number there.
Key = tuple[str, int]


class OrderHandler(Interface):
    """Runs the orders that arrive on links."""

    def submit(
        self,
        order: RunOrder,
        ended: Callable[[RunAnswer], None],
    ) -> Any:
        """Run an order; return a token for ``abandon``."""

    def abandon(self, token: Any) -> None:
        """Give up an order whose sender no longer wants it."""


class _Taken:
    """An order that was taken: its token, then its answer."""

    __slots__ = ('token', 'answer', 'link')

    def __init__(self, link: 'IncomingLink') -> None:
        """Begin on a link."""
        self.token: Any = None
        self.answer: bytes | None = None
        self.link = link


class RecentOrders:
    """Every order lately taken, by its sender's incarnation and number."""

    __slots__ = ('by_key', '_answered')

    def __init__(self) -> None:
        """Begin with none."""
        self.by_key: dict[Key, _Taken] = {}
        self._answered: deque[tuple[float, Key]] = deque()

    def answered(self, key: Key) -> None:
        """Forget an answer after a while."""
        now = clock_now()
        self._answered.append((now, key))
        while self._answered[0][0] < now - _KEPT_SECONDS:
            self.by_key.pop(self._answered.popleft()[1], None)


class IncomingLink(Protocol):
    """One link from another node."""

    def __init__(
        self,
        *,
        handler: OrderHandler,
        recent_orders: RecentOrders,
        greeting: Greeting,
        open_links: set['IncomingLink'],
        on_frame: Callable[['IncomingLink', Frame], None],
    ) -> None:
        """Serve orders with a handler; join the set of open links."""
        self._handler = handler
        self._recent_orders = recent_orders
        self._greeting = greeting
        self._open = open_links
        self._heard = on_frame
        self._transport: Transport | None = None
        self._reader = FrameReader()
        self.peer: Greeting | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether frames can be written."""
        return self._transport is not None

    def connection_made(self, transport: BaseTransport) -> None:
        """Say who this node is."""
        self._transport = cast(Transport, transport)
        self._open.add(self)
        hello = encode_message(self._greeting)
        self._transport.write(encode_frame(FrameKind.GREETING, 0, hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the sender a moment to come back for its calls."""
        self._transport = None
        self._open.discard(self)
        get_running_loop().call_later(_ORPHAN_SECONDS, self._abandon_all)

    def data_received(self, data: bytes) -> None:
        """Take frames."""
        try:
            for frame in self._reader.feed(data):
                self._take(frame)
        except MalformedFrameError as error:
            _log.warning('a link is closed: %s', error)
            self.close()

    def send_frame(self, kind: FrameKind, payload: bytes = b'') -> None:
        """Send a frame that belongs to no call, if the link is open."""
        if self._transport is not None:
            self._transport.write(encode_frame(kind, 0, payload))

    def close(self) -> None:
        """Close the link."""
        if self._transport is not None:
            self._transport.close()

    def answer(self, key: Key, taken: _Taken, answer: RunAnswer) -> None:
        """Send what became of an order, on the link its sender uses now."""
        taken.answer = encode_answer(answer)
        taken.token = None
        taken.link.send_answer(key[1], taken.answer)
        self._recent_orders.answered(key)

    def send_answer(self, stream: int, encoded: bytes) -> None:
        """Write an answer, if the link is open."""
        if self._transport is not None:
            frame = encode_frame(FrameKind.ANSWER, stream, encoded)
            self._transport.write(frame)

    def _take(self, frame: Frame) -> None:
        if frame.kind == FrameKind.ORDER:
            self._take_order(frame)
        elif frame.kind == FrameKind.CANCEL:
            self._cancel(frame.stream)
        elif frame.kind == FrameKind.PING:
            self.send_frame(FrameKind.PONG)
        elif frame.kind == FrameKind.GREETING:
            self.peer = decode_greeting(frame.payload)
            self._heard(self, frame)
        else:
            self._heard(self, frame)

    def _take_order(self, frame: Frame) -> None:
        if self.peer is None:
            raise MalformedFrameError('an order before the greeting')
        key = (self.peer.incarnation, frame.stream)
        known = self._recent_orders.by_key.get(key)
        if known is not None:
            known.link = self
            if known.answer is not None:
                self.send_answer(frame.stream, known.answer)
            return
        order = decode_order(frame.payload, clock_now())
        taken = _Taken(self)
        self._recent_orders.by_key[key] = taken
        token = self._handler.submit(order, partial(self.answer, key, taken))
        if taken.answer is None:
            taken.token = token

    def _cancel(self, stream: int) -> None:
        if self.peer is None:
            return
        taken = self._recent_orders.by_key.get((self.peer.incarnation, stream))
        if taken is not None and taken.token is not None:
            self._handler.abandon(taken.token)

    def _abandon_all(self) -> None:
        """Cancel the calls of a sender that did not come back."""
        for taken in list(self._recent_orders.by_key.values()):
            if taken.link is self and taken.token is not None:
                self._handler.abandon(taken.token)
