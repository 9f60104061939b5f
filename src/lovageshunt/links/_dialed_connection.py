"""One connection of a link, at the side that opened it."""

from asyncio import BaseTransport, Transport, get_running_loop
from collections.abc import Callable
from logging import getLogger
from typing import Final, Protocol, cast

from lovageshunt._memory_account import Holding, MemoryAccount, Use
from lovageshunt._sending import Buffer, PacedProtocol, PacedWriter
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._codec import decode_greeting
from lovageshunt.links._frames import (
    Frame,
    FrameKind,
    FrameReader,
    encode_answer,
    encode_frame,
)
from lovageshunt.links._messages import Greeting, RunAnswer

_log = getLogger(__name__)
#: A link on which nothing was received for this long is pinged.
_PING_AFTER_SECONDS: Final = 0.5
#: The interval of the pings on a quiet link.
_PING_INTERVAL_SECONDS: Final = 0.25
#: A link on which nothing was received for this long is closed.
_SILENCE_TIMEOUT_SECONDS: Final = 1.25
#: The answer to an order whose answer there is no room for.
_ANSWER_WITHOUT_ROOM: Final = encode_answer(
    RunAnswer(
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.CONNECTION_LOST,
    ),
)
#: The most that one check adds to a silence. Checks are further apart only if
#: this process stood still, and then it has not read what arrived meanwhile.
_MAX_CHECK_INTERVAL_SECONDS: Final = 0.5


class LinkOwner(Protocol):
    """Told what happens on the connection of its link."""

    def on_greeting(
        self, connection: 'DialedConnection', hello: Greeting
    ) -> None:
        """Use the connection from now on: the peer is there."""

    def on_received(self, frame: Frame) -> None:
        """Handle a frame other than a greeting or a pong."""

    def on_lost(self, connection: 'DialedConnection', reason: str) -> None:
        """Handle the loss of the connection."""


class _EndedBodies:
    """Bodies of orders that ended before they were written to the end.

    A frame that has begun must be written whole, and nobody else counts its
    body any more. ``cut`` ends the connection.
    """

    __slots__ = ('_holding', '_cut')

    def __init__(
        self, account: MemoryAccount, cut: Callable[[str], None]
    ) -> None:
        self._holding: Holding = account.open(self)
        self._cut = cut

    def add(self, count: int) -> None:
        held = self._holding.taken_bytes + count
        self._holding.update(held, held)

    def clear(self) -> None:
        if self._holding.taken_bytes:
            self._holding.update(0)

    def give_up(self) -> None:
        self._holding.update(0)
        self._cut('the peer does not read the bodies of orders that ended')


class DialedConnection(PacedProtocol):
    """A connection; its owner is the dialer of the link.

    ``greeting`` is done once the peer's greeting was received, and fails
    with ``ConnectionError`` if the connection is lost before. ``account``
    counts the answers that are not whole.
    """

    def __init__(
        self, owner: LinkOwner, account: MemoryAccount | None = None
    ) -> None:
        super().__init__()
        account = account or MemoryAccount()
        self._account = account
        self._holding = account.open(self, Use.ANSWER)
        self._ended_bodies = _EndedBodies(account, self._end)
        self._owner = owner
        self._transport: Transport | None = None
        self._reader = FrameReader()
        self._received_at = clock_now()
        self._checked_at = self._received_at
        self._pinged_at = float('-inf')
        self.greeting = get_running_loop().create_future()

    @property
    def is_all_sent(self) -> bool:
        """Whether everything that was written was handed to the system."""
        writer = self.paced_writer
        if self._transport is None or writer is None:
            return True
        return writer.is_done and not self._transport.get_write_buffer_size()

    def connection_made(self, transport: BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(Transport, transport)
        self.paced_writer = PacedWriter(self._transport)
        self._received_at = clock_now()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the dialer."""
        self._end(str(exc) if exc else 'closed by the other side')

    def data_received(self, data: bytes) -> None:
        """Handle the received frames; end the link if one is malformed."""
        self._received_at = clock_now()
        try:
            frames = self._reader.feed(data)
            held = self._reader.held_bytes
            self._holding.update(held, held)
            for frame in frames:
                self._on_frame(frame)
        except MalformedFrameError as error:
            self._end(str(error))

    def write(self, *parts: Buffer) -> None:
        """Write complete frames; drop them if the connection is closed."""
        if self._transport is not None and self.paced_writer is not None:
            for part in parts:
                self.paced_writer.write(part)

    def resume_writing(self) -> None:
        """Go on with what waits."""
        super().resume_writing()
        self._clear_ended()

    def note_ended(self, body_bytes: int) -> None:
        """Count the body of an order that ended and may not be written yet."""
        if not self.is_all_sent:
            self._ended_bodies.add(body_bytes)

    def give_up(self) -> None:
        """End an order as unknown whose answer there is no room for."""
        self._account.refused_by_cause['answer'] += 1
        _log.warning(
            'skipping an answer that there is no room for',
            extra={'held_bytes': self._reader.held_bytes},
        )
        skipped = self._reader.skip_large()
        if skipped is None or skipped.kind != FrameKind.ANSWER:
            self._end('there is no room for what the peer sends')
            return
        held = self._reader.held_bytes
        self._holding.update(held, held)
        skipped.payload = _ANSWER_WITHOUT_ROOM
        self._owner.on_received(skipped)

    def check_silence(self, now: float) -> None:
        """Ping a quiet peer; end the connection when the timeout is over."""
        interval = now - self._checked_at
        self._checked_at = now
        self._received_at += max(0, interval - _MAX_CHECK_INTERVAL_SECONDS)
        quiet = now - self._received_at
        self._clear_ended()
        if quiet > _SILENCE_TIMEOUT_SECONDS:
            self._end(f'silent for {quiet:.2f} s')
        elif quiet > _PING_AFTER_SECONDS and now >= self._pinged_at:
            self._pinged_at = now + _PING_INTERVAL_SECONDS
            self.write(encode_frame(FrameKind.PING, 0))

    def abort(self) -> None:
        """Close the connection without reporting it to the dialer."""
        transport = self._transport
        self._transport = None
        self._reader = FrameReader()
        self._holding.close()
        self._ended_bodies.clear()
        self.paced_writer = None
        if transport is not None:
            transport.abort()
        if not self.greeting.done():
            self.greeting.cancel()

    def _clear_ended(self) -> None:
        if self.is_all_sent:
            self._ended_bodies.clear()

    def _on_frame(self, frame: Frame) -> None:
        if frame.kind == FrameKind.GREETING:
            self._owner.on_greeting(self, decode_greeting(frame.payload))
            if not self.greeting.done():
                self.greeting.set_result(None)
        elif frame.kind != FrameKind.PONG:
            self._owner.on_received(frame)

    def _end(self, reason: str) -> None:
        if self._transport is None:
            return
        if not self.greeting.done():
            self.greeting.set_exception(ConnectionError(reason))
            # After its timeout the dialer no longer awaits the future; reading
            # the exception here keeps asyncio from logging it.
            self.greeting.exception()
        self.abort()
        self._owner.on_lost(self, reason)
