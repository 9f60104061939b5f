"""The side of a link that sends orders."""

from asyncio import (
    BaseTransport,
    Protocol,
    Task,
    TimerHandle,
    Transport,
    get_running_loop,
    sleep,
    timeout,
)
from collections.abc import Callable, Iterator
from logging import getLogger
from typing import Final, cast

from lovageshunt._record import Record
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._codec import decode_greeting, encode_message
from lovageshunt.links._frames import (
    Frame,
    FrameKind,
    FrameReader,
    decode_answer,
    encode_frame,
    encode_order,
)
from lovageshunt.links._messages import Greeting, RunAnswer, RunOrder

_log = getLogger(__name__)
#: How long a link may take to be made and greeted, in seconds: some hundred
#: times the way between failure domains.
_CONNECT_SECONDS: Final = 0.6
#: Pauses between two attempts to make a link, in seconds.
_FIRST_PAUSE_SECONDS: Final = 0.05
_MOST_PAUSE_SECONDS: Final = 1.0
#: A link from which nothing came for so long is asked whether it lives.
_QUIET_SECONDS: Final = 0.5
#: A link from which nothing came for so long is given up, in seconds.
_SILENT_SECONDS: Final = 1.25
#: How long a lost link may take to come back before the calls on it that may
#: be repeated are tried elsewhere, in seconds.
_RESUME_SECONDS: Final = 0.3
#: The same for calls that must not be repeated, in seconds.
_RESUME_ONCE_SECONDS: Final = 2.5
#: The tick that watches over a link, in seconds.
_TICK_SECONDS: Final = 0.25

Ended = Callable[[RunAnswer], None]


class _Sent(Record):
    """An order on a link; ``is_written`` once the other side may have it."""

    __slots__ = ('order', 'ended', 'is_written')

    def __init__(self, order: RunOrder, ended: Ended) -> None:
        """Begin unwritten."""
        self.order = order
        self.ended = ended
        self.is_written = False


class LinkListener(Record):
    """What a dialer tells its owner: frames of other kinds, and greetings."""

    __slots__ = ('on_frame', 'on_greeting')

    def __init__(
        self,
        *,
        on_frame: Callable[[str, Frame], None],
        on_greeting: Callable[[str, Greeting], None],
    ) -> None:
        """Take both; the first argument of each is the address."""
        self.on_frame = on_frame
        self.on_greeting = on_greeting


class Dialer:
    """Keeps one link to a node and carries orders over it.

    A link that was lost is made anew. If the node lives on under the same
    incarnation, the orders in flight are sent again under their numbers, and
    the node goes on with what it has; so no call is lost or run twice with
    its connection. ``numbers`` are shared by all dialers of a process, since
    a node knows an order by its number and the sender's incarnation.
    """

    __slots__ = (
        '_host',
        '_port',
        '_greeting',
        '_listener',
        '_by_stream',
        '_numbers',
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
    ) -> None:
        """Begin without a link; ``greeting`` says who this node is."""
        self._host = host
        self._port = port
        self._greeting = greeting
        self._listener = listener
        self._by_stream: dict[int, _Sent] = {}
        self._numbers = numbers
        self._connection: _DialedConnection | None = None
        self._incarnation = ''
        self._task: Task[None] | None = None
        self._pause = _FIRST_PAUSE_SECONDS
        self._is_closed = False
        self._lost_at: float | None = None

    @property
    def is_up(self) -> bool:
        """Tell whether the link is made and greeted."""
        return self._connection is not None

    @property
    def is_idle(self) -> bool:
        """Tell whether no call is on the link."""
        return not self._by_stream

    @property
    def is_down(self) -> bool:
        """Tell whether the link was lost or could not be made."""
        return self._connection is None and self._lost_at is not None

    def open(self) -> None:
        """Make the link, and make it anew whenever it is lost."""
        if self._task is None and not self._is_closed:
            self._task = get_running_loop().create_task(self._connect())

    def close(self) -> None:
        """End the link for good; calls on it end as unknown."""
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.drop()
        for stream in list(self._by_stream):
            self._give_up(stream)

    def send(self, order: RunOrder, ended: Ended) -> int:
        """Send an order; return the number by which it can be cancelled."""
        stream = next(self._numbers)
        sent = _Sent(order, ended)
        self._by_stream[stream] = sent
        if self._connection is None:
            self.open()
            delay = _CONNECT_SECONDS
            get_running_loop().call_later(delay, self._expire_unsent, stream)
        else:
            self._write(stream, sent)
        return stream

    def cancel(self, stream: int) -> None:
        """Give up an order, wherever it is; ``ended`` is not called."""
        sent = self._by_stream.pop(stream, None)
        if sent is None or not sent.is_written:
            return
        if self._connection is not None:
            self._connection.write(encode_frame(FrameKind.CANCEL, stream))

    def send_frame(self, kind: FrameKind, payload: bytes = b'') -> None:
        """Send a frame that belongs to no call, if the link is up."""
        if self._connection is not None:
            self._connection.write(encode_frame(kind, 0, payload))

    # What the connection calls.

    def on_greeting(
        self, connection: '_DialedConnection', hello: Greeting
    ) -> None:
        """Begin to use a link; go on with what was on the last one."""
        is_same = hello.incarnation == self._incarnation
        self._incarnation = hello.incarnation
        self._connection = connection
        self._lost_at = None
        self._pause = _FIRST_PAUSE_SECONDS
        for stream, sent in list(self._by_stream.items()):
            if sent.is_written and not is_same:
                self._give_up(stream)
            else:
                self._write(stream, sent)
        self._listener.on_greeting(self._host, hello)

    def received(self, frame: Frame) -> None:
        """Take a frame from the other side."""
        if frame.kind == FrameKind.ANSWER:
            sent = self._by_stream.pop(frame.stream, None)
            if sent is not None:
                sent.ended(decode_answer(frame.payload))
            return
        self._listener.on_frame(self._host, frame)

    def lost(self, connection: '_DialedConnection', reason: str) -> None:
        """Make the link anew."""
        if self._connection is not connection or self._is_closed:
            return
        self._connection = None
        self._lost_at = clock_now()
        _log.info(
            'link lost',
            extra={
                'peer': self._host,
                'reason': reason,
                'in_flight': len(self._by_stream),
            },
        )
        loop = get_running_loop()
        loop.call_later(_RESUME_SECONDS, self._expire_resumed, True)
        loop.call_later(_RESUME_ONCE_SECONDS, self._expire_resumed, False)
        self.open()

    async def _connect(self) -> None:
        loop = get_running_loop()
        while not self._is_closed and self._connection is None:
            connection = _DialedConnection(self)
            try:
                async with timeout(_CONNECT_SECONDS):
                    await loop.create_connection(
                        lambda made=connection: made,  # type: ignore[misc]
                        self._host,
                        self._port,
                    )
                    hello = encode_message(self._greeting)
                    connection.write(encode_frame(FrameKind.GREETING, 0, hello))
                    await connection.greeting
            except OSError as error:
                connection.drop()
                self._note_failure(error)
                await sleep(self._pause)
                self._pause = min(self._pause * 2, _MOST_PAUSE_SECONDS)
        self._task = None

    def _note_failure(self, error: OSError) -> None:
        if self._lost_at is None:
            _log.info(
                'no link',
                extra={
                    'peer': self._host,
                    'reason': str(error) or type(error).__name__,
                },
            )
            self._lost_at = clock_now()
        for stream, sent in list(self._by_stream.items()):
            if not sent.is_written:
                self._give_up(stream)

    def _write(self, stream: int, sent: _Sent) -> None:
        if self._connection is None:
            return
        sent.is_written = True
        payload = encode_order(sent.order, clock_now())
        self._connection.write(encode_frame(FrameKind.ORDER, stream, payload))

    def _expire_unsent(self, stream: int) -> None:
        sent = self._by_stream.get(stream)
        if sent is not None and not sent.is_written:
            self._give_up(stream)

    def _expire_resumed(self, is_repeatable: bool) -> None:
        if self._connection is not None:
            return
        for stream, sent in list(self._by_stream.items()):
            if sent.order.is_repeatable == is_repeatable:
                self._give_up(stream)

    def _give_up(self, stream: int) -> None:
        """End a call: not run if nothing of it was written, else unknown."""
        sent = self._by_stream.pop(stream)
        if sent.is_written:
            outcome = Outcome.UNKNOWN
            reason = RefusalReason.CONNECTION_LOST
        else:
            outcome = Outcome.NOT_RUN
            reason = RefusalReason.NO_TARGET
        sent.ended(RunAnswer(outcome=outcome, reason=reason))


class _DialedConnection(Protocol):
    """The connection under a dialer's link."""

    def __init__(self, dialer: Dialer) -> None:
        """Report to a dialer."""
        self._dialer = dialer
        self._transport: Transport | None = None
        self._reader = FrameReader()
        self._heard_at = clock_now()
        self._tick: TimerHandle | None = None
        self.greeting = get_running_loop().create_future()

    def connection_made(self, transport: BaseTransport) -> None:
        """Begin to watch for silence."""
        self._transport = cast(Transport, transport)
        self._heard_at = clock_now()
        self._watch()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the dialer."""
        self._end(str(exc) if exc else 'closed by the other side')

    def data_received(self, data: bytes) -> None:
        """Take frames."""
        self._heard_at = clock_now()
        try:
            for frame in self._reader.feed(data):
                self._take(frame)
        except MalformedFrameError as error:
            self._end(str(error))

    def write(self, encoded: bytes) -> None:
        """Write whole frames."""
        if self._transport is not None:
            self._transport.write(encoded)

    def drop(self) -> None:
        """Close the connection without a word to the dialer."""
        transport = self._transport
        self._transport = None
        if self._tick is not None:
            self._tick.cancel()
        if transport is not None:
            transport.abort()
        if not self.greeting.done():
            self.greeting.cancel()

    def _take(self, frame: Frame) -> None:
        if frame.kind == FrameKind.GREETING:
            self._dialer.on_greeting(self, decode_greeting(frame.payload))
            if not self.greeting.done():
                self.greeting.set_result(None)
        elif frame.kind != FrameKind.PONG:
            self._dialer.received(frame)

    def _watch(self) -> None:
        """Ask a quiet link for a sign of life, and give up a silent one."""
        quiet = clock_now() - self._heard_at
        if quiet > _SILENT_SECONDS:
            self._end(f'silent for {quiet:.2f} s')
            return
        if quiet > _QUIET_SECONDS:
            self.write(encode_frame(FrameKind.PING, 0))
        loop = get_running_loop()
        self._tick = loop.call_later(_TICK_SECONDS, self._watch)

    def _end(self, reason: str) -> None:
        if self._transport is None:
            return
        if not self.greeting.done():
            self.greeting.set_exception(ConnectionError(reason))
            # Nobody waits for it once the dialer has given up.
            self.greeting.exception()
        self.drop()
        self._dialer.lost(self, reason)
