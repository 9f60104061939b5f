"""One connection of a link, at the side that opened it."""

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.calls import Outcome
from lovageshunt.links import (
    Frame,
    FrameKind,
    Greeting,
    RunAnswer,
    decode_answer,
    encode_answer,
    encode_frame,
)
from lovageshunt.links._dialed_connection import DialedConnection
from tests.http1.wire import FakeTransport
from tests.only import only

LARGE_ANSWER = encode_frame(
    FrameKind.ANSWER,
    7,
    encode_answer(
        RunAnswer(outcome=Outcome.ANSWERED, status=200, body=bytes(1_000_000))
    ),
)


class Owner:
    """Notes what the connection tells."""

    def __init__(self) -> None:
        self.received: list[Frame] = []
        self.lost: list[str] = []

    def on_greeting(
        self, connection: DialedConnection, hello: Greeting
    ) -> None:
        """Do nothing."""

    def on_received(self, frame: Frame) -> None:
        self.received.append(frame)

    def on_lost(self, connection: DialedConnection, reason: str) -> None:
        self.lost.append(reason)


class TestMemory:
    """What a link holds at the side that opened it."""

    async def test_skips_an_answer_without_room(self) -> None:
        """Its call ends as unknown, and the link goes on."""
        account = MemoryAccount()
        owner = Owner()
        connection = DialedConnection(owner, account)
        connection.connection_made(FakeTransport())
        connection.data_received(LARGE_ANSWER[:-10])
        assert account.held_bytes > 1_000_000 - 10
        filler = account.open()
        filler.update(account.limit_bytes)
        skipped = only(owner.received)
        assert skipped.stream == 7
        assert decode_answer(skipped.payload).outcome is Outcome.UNKNOWN
        filler.close()
        connection.data_received(LARGE_ANSWER[-10:])
        connection.data_received(LARGE_ANSWER)
        answer = decode_answer(owner.received[1].payload)
        assert len(answer.body) == 1_000_000
        assert not owner.lost

    async def test_counts_bodies_of_orders_that_ended(self) -> None:
        """A frame that has begun is written whole, however long it takes."""
        account = MemoryAccount()
        owner = Owner()
        connection = DialedConnection(owner, account)
        connection.connection_made(FakeTransport())
        connection.pause_writing()
        connection.write(bytes(1_000_000))
        connection.note_ended(1_000_000)
        assert account.held_bytes == 1_000_000
        connection.resume_writing()
        assert account.held_bytes == 0

    async def test_is_cut_if_the_peer_reads_no_such_body(self) -> None:
        """Its sender connects anew, and sends what is in flight again."""
        account = MemoryAccount()
        owner = Owner()
        connection = DialedConnection(owner, account)
        connection.connection_made(FakeTransport())
        connection.pause_writing()
        connection.write(bytes(1_000_000))
        connection.note_ended(1_000_000)
        account.open().update(account.limit_bytes)
        assert len(owner.lost) == 1
        assert account.held_bytes == account.limit_bytes
