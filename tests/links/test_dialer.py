"""The side of a link that sends orders, against a scripted peer."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from itertools import count

import pytest

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    Dialer,
    Frame,
    FrameKind,
    FrameReader,
    Greeting,
    LinkListener,
    RunAnswer,
    encode_answer,
    encode_frame,
    encode_message,
)
from tests.links.orders import order
from tests.loopback import own_host
from tests.only import only

HOST = own_host(109)
PORT = 18311


class ScriptedPeer:
    """Accepts links; sends a greeting and answers orders if set to."""

    def __init__(self) -> None:
        self.incarnation = 'incarnation-1'
        self.sends_greeting = True
        self.answers_orders = True
        self.connection_count = 0
        self.after_answer: Callable[[], None] = lambda: None
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        hello = Greeting(node='n', service='s', incarnation=self.incarnation)
        if self.sends_greeting:
            payload = encode_message(hello)
            writer.write(encode_frame(FrameKind.GREETING, 0, payload))
        with suppress(ConnectionError, asyncio.CancelledError):
            frames = FrameReader()
            while data := await reader.read(65536):
                for frame in frames.feed(data):
                    self.handle(writer, frame)

    def handle(self, writer: asyncio.StreamWriter, frame: Frame) -> None:
        if frame.kind != FrameKind.ORDER or not self.answers_orders:
            return
        answer = RunAnswer(outcome=Outcome.ANSWERED, status=200, body=b'ok')
        payload = encode_answer(answer)
        writer.write(encode_frame(FrameKind.ANSWER, frame.stream, payload))
        self.after_answer()

    def abort_connections(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


@asynccontextmanager
async def connected_dialer() -> AsyncIterator[tuple[ScriptedPeer, Dialer]]:
    peer = ScriptedPeer()
    server = await asyncio.start_server(peer.serve, HOST, PORT)
    dialer = Dialer(
        HOST,
        PORT,
        greeting=Greeting(node='o', service='s', incarnation='own'),
        listener=LinkListener(
            on_frame=lambda host, frame: None,
            on_greeting=lambda host, greeting: None,
        ),
        numbers=count(1),
    )
    try:
        yield peer, dialer
    finally:
        dialer.close()
        server.close()


def stand_still() -> None:
    """Block the event loop until an attempt to connect has timed out."""
    time.sleep(0.7)


async def until(condition: Callable[[], bool], seconds: float = 4) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class TestDialer:
    """Establishing a link, losing it, and the outcome of its calls."""

    async def test_makes_the_link_for_the_first_order(self) -> None:
        """An order sent without a link waits until it is established."""
        async with connected_dialer() as (_, dialer):
            answers: list[RunAnswer] = []
            dialer.send(order(), answers.append)
            await until(lambda: bool(answers))
            assert answers[0].body == b'ok'

    async def test_opens_an_established_link_once(self) -> None:
        """A link that is up needs no task to connect it."""
        async with connected_dialer() as (_, dialer):
            dialer.open()
            await until(lambda: dialer.is_up)
            await asyncio.sleep(0.02)
            before = len(asyncio.all_tasks())
            dialer.open()
            assert len(asyncio.all_tasks()) == before

    async def test_notices_a_silent_link(self) -> None:
        """A link without a reply to pings is reconnected within 2 s."""
        async with connected_dialer() as (peer, dialer):
            dialer.open()
            await until(lambda: dialer.is_up)

            def is_reconnected() -> bool:
                dialer.check_silence(clock_now())
                return peer.connection_count == 2

            await until(is_reconnected, 2)

    async def test_uses_a_link_whose_greeting_came_with_the_timeout(
        self,
    ) -> None:
        """A greeting that is read as the timeout ends establishes the link.

        Guards against calls that never end: the link counted as up, but its
        connection had been closed.
        """
        async with connected_dialer() as (peer, dialer):
            peer.sends_greeting = False
            dialer.open()
            await until(lambda: bool(peer.writers))
            hello = Greeting(node='n', service='s', incarnation='late')
            payload = encode_message(hello)
            peer.writers[0].write(encode_frame(FrameKind.GREETING, 0, payload))
            # Both are due when the event loop goes on.
            stand_still()
            await until(lambda: dialer.is_up)
            answers: list[RunAnswer] = []
            dialer.send(order(), answers.append)
            await until(lambda: bool(answers), 1)
            assert answers[0].outcome is Outcome.ANSWERED

    async def test_reads_what_arrived_while_it_stood_still(self) -> None:
        """After a pause of this process, answers that wait are read first.

        Guards against a ready answer that is thrown away with its link.
        """
        async with connected_dialer() as (peer, dialer):
            dialer.open()
            await until(lambda: dialer.is_up)
            answers: list[RunAnswer] = []

            def wake_up() -> None:
                # The answer is in the socket, and the check comes first.
                peer.answers_orders = False
                dialer.check_silence(clock_now() + 3.5)

            peer.after_answer = wake_up
            dialer.check_silence(clock_now())
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.ANSWERED
            assert peer.connection_count == 1

    async def test_notices_silence_after_it_stood_still(self) -> None:
        """A link that stays silent after a pause is lost soon after it."""
        async with connected_dialer() as (peer, dialer):
            dialer.open()
            await until(lambda: dialer.is_up)
            paused_until = clock_now() + 10
            for tenth in range(12):
                dialer.check_silence(paused_until + tenth / 10)
            assert not dialer.is_up

    async def test_resends_to_the_same_incarnation(self) -> None:
        """An order on a lost link is answered on the next connection."""
        async with connected_dialer() as (peer, dialer):
            peer.answers_orders = False
            answers: list[RunAnswer] = []
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: dialer.is_up)
            peer.answers_orders = True
            peer.abort_connections()
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.ANSWERED

    async def test_logs_which_orders_it_sends_again(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The line names those that must not run twice."""
        caplog.set_level('INFO')
        async with connected_dialer() as (peer, dialer):
            peer.answers_orders = False
            dialer.send(order(is_repeatable=False), lambda _: None)
            dialer.send(order(is_repeatable=True), lambda _: None)
            await until(lambda: dialer.is_up)
            peer.abort_connections()
            await until(lambda: peer.connection_count == 2 and dialer.is_up)
        resumed = only(
            [each for each in caplog.records if 'again' in each.message]
        )
        assert resumed.__dict__['request_ids'] == ['a']
        assert resumed.__dict__['in_flight'] == 2

    async def test_gives_each_loss_its_full_time(self) -> None:
        """A link that is lost a second time may take as long to resume.

        Guards against a purchase that is given up while its peer is back.
        """
        async with connected_dialer() as (peer, dialer):
            peer.answers_orders = False
            answers: list[RunAnswer] = []
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: dialer.is_up)
            peer.abort_connections()
            await until(lambda: peer.connection_count == 2 and dialer.is_up)
            await asyncio.sleep(1.6)
            peer.sends_greeting = False
            peer.abort_connections()
            await asyncio.sleep(1.2)
            assert not answers
            peer.sends_greeting = True
            peer.answers_orders = True
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.ANSWERED

    async def test_ends_calls_as_unknown_after_a_restart(self) -> None:
        """An order sent to an earlier incarnation is unknown at once."""
        async with connected_dialer() as (peer, dialer):
            peer.answers_orders = False
            answers: list[RunAnswer] = []
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: dialer.is_up)
            peer.incarnation = 'incarnation-2'
            peer.abort_connections()
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.UNKNOWN
            assert answers[0].reason is RefusalReason.CONNECTION_LOST

    async def test_reports_unwritten_orders_as_not_run(self) -> None:
        """Without a greeting no order is written, so none has run."""
        async with connected_dialer() as (peer, dialer):
            peer.sends_greeting = False
            answers: list[RunAnswer] = []
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.NOT_RUN
            await until(lambda: dialer.is_down)

    async def test_ends_its_calls_when_closed(self) -> None:
        """Every order ends, also when the link is closed for good."""
        async with connected_dialer() as (peer, dialer):
            peer.answers_orders = False
            answers: list[RunAnswer] = []
            dialer.send(order(), answers.append)
            await until(lambda: dialer.is_up)
            dialer.close()
            assert answers[0].outcome is Outcome.UNKNOWN
