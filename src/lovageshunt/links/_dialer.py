"""The side of a link that opens it and sends orders."""

from asyncio import Task, get_running_loop, sleep, timeout
from collections.abc import Callable, Iterator
from logging import getLogger
from types import MappingProxyType
from typing import Final

from lovageshunt._memory_account import MemoryAccount
from lovageshunt._record import Record
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.links._codec import encode_message
from lovageshunt.links._dialed_connection import DialedConnection
from lovageshunt.links._frames import (
    Frame,
    FrameKind,
    decode_answer,
    encode_frame,
    encode_order_frame,
)
from lovageshunt.links._messages import Greeting, RunAnswer, RunOrder

_log = getLogger(__name__)
#: Timeout for connecting and receiving the greeting: about a hundred times
#: the latency between failure domains.
_CONNECT_TIMEOUT_SECONDS: Final = 0.6
#: Pauses between two attempts to connect; doubled after each failure.
_INITIAL_PAUSE_SECONDS: Final = 0.05
_MAX_PAUSE_SECONDS: Final = 1.0
#: How long a lost link may take to reconnect before its calls are ended, by
#: whether they are repeatable: those are retried elsewhere.
_RESUME_SECONDS: Final = MappingProxyType({True: 0.3, False: 2.5})
#: A body of up to this size is sent together with its head, in bytes.
_MAX_JOINED_BYTES: Final = 16 * 1024
#: The orders that a log line names; it names those that must not run twice.
_MAX_LOGGED_ORDERS: Final = 8

EndedCallback = Callable[[RunAnswer], None]


class _SentOrder(Record):
    """An order on a link; ``is_written`` once the peer may have received it."""

    __slots__ = ('order', 'ended', 'is_written')

    def __init__(self, order: RunOrder, ended: EndedCallback) -> None:
        self.order = order
        self.ended = ended
        self.is_written = False


class LinkListener(Record):
    """The callbacks of a dialer; their first argument is the peer's address.

    ``on_frame`` is called with each frame that is neither a greeting nor a
    pong nor an answer, ``on_greeting`` whenever the link is established.
    """

    __slots__ = ('on_frame', 'on_greeting')

    def __init__(
        self,
        *,
        on_frame: Callable[[str, Frame], None],
        on_greeting: Callable[[str, Greeting], None],
    ) -> None:
        self.on_frame = on_frame
        self.on_greeting = on_greeting


class Dialer:
    """Keeps one link to a node and sends orders over it.

    A lost link is reconnected. If the node still has the same incarnation,
    the orders in flight are sent again with the same stream numbers, and the
    node continues those that it already has; thus a lost connection neither
    loses a call nor runs it twice. ``numbers`` is shared by all dialers of a
    process, because a node identifies an order by its stream number and the
    sender's incarnation. ``greeting`` describes this node; ``account`` counts
    what the link holds.
    """

    __slots__ = (
        '_host',
        '_port',
        '_greeting',
        '_listener',
        '_sent_by_stream',
        '_numbers',
        '_account',
        '_connection',
        '_incarnation',
        '_task',
        '_pause',
        '_is_closed',
        '_lost_at',
    )

    def __init__(
        self,
        host: str,
        port: int,
        *,
        greeting: Greeting,
        listener: LinkListener,
        numbers: Iterator[int],
        account: MemoryAccount | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._greeting = greeting
        self._listener = listener
        self._sent_by_stream: dict[int, _SentOrder] = {}
        self._numbers = numbers
        self._account = account or MemoryAccount()
        self._connection: DialedConnection | None = None
        self._incarnation = ''
        self._task: Task[None] | None = None
        self._pause = _INITIAL_PAUSE_SECONDS
        self._is_closed = False
        self._lost_at: float | None = None

    @property
    def is_up(self) -> bool:
        """Whether the link is established, greeting included."""
        return self._connection is not None

    @property
    def is_idle(self) -> bool:
        """Whether no call is in flight."""
        return not self._sent_by_stream

    @property
    def is_down(self) -> bool:
        """Whether the link was lost or could not be established."""
        return self._connection is None and self._lost_at is not None

    def open(self) -> None:
        """Start to connect; a link that is lost later is reconnected."""
        if self._task is None and not self._is_closed and not self.is_up:
            self._task = get_running_loop().create_task(self._connect())

    def close(self) -> None:
        """Close the link for good; written calls end as unknown."""
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.abort()
        for stream in list(self._sent_by_stream):
            self._give_up(stream)

    def send(self, order: RunOrder, ended: EndedCallback) -> int:
        """Send an order; return the stream number for ``cancel``.

        While the link is down, the order waits until it is established.
        """
        stream = next(self._numbers)
        sent = _SentOrder(order, ended)
        self._sent_by_stream[stream] = sent
        if self._connection is None:
            self.open()
            delay = _CONNECT_TIMEOUT_SECONDS
            get_running_loop().call_later(delay, self._expire_unsent, stream)
        else:
            self._write(stream, sent)
        return stream

    def check_silence(self, now: float) -> None:
        """Ping a quiet node; end the link when its timeout is over.

        To be called a few times a second, with the time on the clock.
        """
        if self._connection is not None:
            self._connection.check_silence(now)

    def cancel(self, stream: int) -> None:
        """Cancel an order, sent or not; its ``ended`` is not called."""
        sent = self._sent_by_stream.pop(stream, None)
        if sent is None or not sent.is_written:
            return
        if self._connection is not None:
            self._connection.write(encode_frame(FrameKind.CANCEL, stream))
            self._note_ended(sent)

    def send_frame(self, kind: FrameKind, payload: bytes = b'') -> None:
        """Send a frame that belongs to no call; drop it if the link is down."""
        if self._connection is not None:
            self._connection.write(encode_frame(kind, 0, payload))

    # Called by the connection.

    def on_greeting(
        self, connection: DialedConnection, hello: Greeting
    ) -> None:
        """Use a new connection; resend the orders of the previous one."""
        is_same = hello.incarnation == self._incarnation
        self._incarnation = hello.incarnation
        self._connection = connection
        self._lost_at = None
        self._pause = _INITIAL_PAUSE_SECONDS
        self._log_resumed(is_same)
        for stream, sent in list(self._sent_by_stream.items()):
            if sent.is_written and not is_same:
                self._give_up(stream)
            else:
                self._write(stream, sent)
        self._listener.on_greeting(self._host, hello)

    def on_received(self, frame: Frame) -> None:
        """Handle a frame other than a greeting or a pong."""
        if frame.kind == FrameKind.ANSWER:
            sent = self._sent_by_stream.pop(frame.stream, None)
            if sent is not None:
                self._note_ended(sent)
                sent.ended(decode_answer(frame.payload))
            return
        self._listener.on_frame(self._host, frame)

    def on_lost(self, connection: DialedConnection, reason: str) -> None:
        """Reconnect; end the calls in flight if that takes too long."""
        if self._connection is not connection or self._is_closed:
            return
        self._connection = None
        self._lost_at = clock_now()
        _log.info(
            'link lost, reconnecting',
            extra={
                'peer': self._host,
                'reason': reason,
                'in_flight': len(self._sent_by_stream),
            },
        )
        loop = get_running_loop()
        for is_repeatable, seconds in _RESUME_SECONDS.items():
            loop.call_later(
                seconds, self._expire_unresumed, is_repeatable, self._lost_at
            )
        self.open()

    def _note_ended(self, sent: _SentOrder) -> None:
        """Have the body counted that may not be written to the end yet."""
        connection = self._connection
        if connection is not None and not connection.is_all_sent:
            # Until then its request counts it.
            get_running_loop().call_soon(
                connection.note_ended, len(sent.order.body)
            )

    def _log_resumed(self, is_same: bool) -> None:
        """Log the orders that were in flight when the link was lost."""
        written = [
            sent.order
            for sent in self._sent_by_stream.values()
            if sent.is_written
        ]
        if not written:
            return
        logged = [each for each in written if not each.is_repeatable]
        if is_same:
            message = 'link is back, sending the orders in flight again'
        else:
            message = 'node has restarted, ending its orders as unknown'
        _log.info(
            message,
            extra={
                'peer': self._host,
                'in_flight': len(written),
                'request_ids': [
                    each.attempt_id.decode('latin-1')
                    for each in logged[:_MAX_LOGGED_ORDERS]
                ],
            },
        )

    async def _connect(self) -> None:
        loop = get_running_loop()
        while not self._is_closed and self._connection is None:
            connection = DialedConnection(self, self._account)
            try:
                async with timeout(_CONNECT_TIMEOUT_SECONDS):
                    await loop.create_connection(
                        lambda new=connection: new,  # type: ignore[misc]
                        self._host,
                        self._port,
                    )
                    hello = encode_message(self._greeting)
                    connection.write(encode_frame(FrameKind.GREETING, 0, hello))
                    await connection.greeting
            except OSError as error:
                if self._connection is connection:
                    # The greeting came as the timeout ended.
                    break
                connection.abort()
                self._on_connect_failed(error)
                await sleep(self._pause)
                self._pause = min(self._pause * 2, _MAX_PAUSE_SECONDS)
        self._task = None

    def _on_connect_failed(self, error: OSError) -> None:
        if self._lost_at is None:
            _log.info(
                'link could not be established, retrying',
                extra={
                    'peer': self._host,
                    'reason': str(error) or type(error).__name__,
                },
            )
            self._lost_at = clock_now()
        for stream, sent in list(self._sent_by_stream.items()):
            if not sent.is_written:
                self._give_up(stream)

    def _write(self, stream: int, sent: _SentOrder) -> None:
        if self._connection is None:
            return
        sent.is_written = True
        head, body = encode_order_frame(stream, sent.order, clock_now())
        if len(body) > _MAX_JOINED_BYTES:
            self._connection.write(head, body)
        else:
            self._connection.write(head + body)

    def _expire_unsent(self, stream: int) -> None:
        sent = self._sent_by_stream.get(stream)
        if sent is not None and not sent.is_written:
            self._give_up(stream)

    def _expire_unresumed(self, is_repeatable: bool, lost_at: float) -> None:
        """End calls, unless the link was resumed since it was lost then."""
        if self._lost_at != lost_at:
            return
        for stream, sent in list(self._sent_by_stream.items()):
            if sent.order.is_repeatable == is_repeatable:
                self._give_up(stream)

    def _give_up(self, stream: int) -> None:
        """End a call, as not run if it was not written, else as unknown."""
        sent = self._sent_by_stream.pop(stream)
        if sent.is_written:
            outcome = Outcome.UNKNOWN
            reason = RefusalReason.CONNECTION_LOST
        else:
            outcome = Outcome.NOT_RUN
            reason = RefusalReason.NO_TARGET
        sent.ended(RunAnswer(outcome=outcome, reason=reason))
