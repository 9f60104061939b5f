"""The side of a link that sends orders, against scripted other sides."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from itertools import count

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
    RunOrder,
    encode_answer,
    encode_frame,
    encode_message,
)
from tests.loopback import own_host

HOST = own_host(109)
PORT = 18311


class OtherSide:
    """Takes links; says who it is, and answers orders if it is told to."""

    def __init__(self) -> None:
        self.incarnation = 'life-1'
        self.greets = True
        self.answers = True
        self.made = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.made += 1
        self.writers.append(writer)
        hello = Greeting(node='n', service='s', incarnation=self.incarnation)
        if self.greets:
            payload = encode_message(hello)
            writer.write(encode_frame(FrameKind.GREETING, 0, payload))
        with suppress(ConnectionError, asyncio.CancelledError):
            frames = FrameReader()
            while data := await reader.read(65536):
                for frame in frames.feed(data):
                    self.take(writer, frame)

    def take(self, writer: asyncio.StreamWriter, frame: Frame) -> None:
        if frame.kind != FrameKind.ORDER or not self.answers:
            return
        answer = RunAnswer(outcome=Outcome.ANSWERED, status=200, body=b'ok')
        payload = encode_answer(answer)
        writer.write(encode_frame(FrameKind.ANSWER, frame.stream, payload))

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


@asynccontextmanager
async def linked() -> AsyncIterator[tuple[OtherSide, Dialer]]:
    side = OtherSide()
    server = await asyncio.start_server(side.serve, HOST, PORT)
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
        yield side, dialer
    finally:
        dialer.close()
        server.close()


def order(*, is_repeatable: bool = True) -> RunOrder:
    return RunOrder(
        attempt_id=b'a',
        target_id='i',
        kind='k',
        caller_service='s',
        importance=1,
        is_repeatable=is_repeatable,
        is_repeat=False,
        deadline=clock_now() + 5,
        method=b'GET',
        request_target=b'/',
        fields=b'',
        body=b'',
    )


async def until(condition: Callable[[], bool], seconds: float = 4) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class TestDialer:
    """A link and what becomes of the calls on it."""

    async def test_makes_the_link_for_the_first_order(self) -> None:
        """An order that finds no link waits until it is made."""
        async with linked() as (_, dialer):
            answers: list[RunAnswer] = []
            dialer.send(order(), answers.append)
            await until(lambda: bool(answers))
            assert answers[0].body == b'ok'

    async def test_notices_a_silent_link(self) -> None:
        """A link that answers no ping is made anew within two seconds."""
        async with linked() as (side, dialer):
            dialer.open()
            await until(lambda: dialer.is_up)
            await until(lambda: side.made == 2, 2)

    async def test_sends_again_to_the_same_life(self) -> None:
        """An order on a lost link is answered on the next one."""
        async with linked() as (side, dialer):
            side.answers = False
            answers: list[RunAnswer] = []
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: dialer.is_up)
            side.answers = True
            side.cut()
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.ANSWERED

    async def test_knows_nothing_of_another_life(self) -> None:
        """An order that another life took is unknown at once."""
        async with linked() as (side, dialer):
            side.answers = False
            answers: list[RunAnswer] = []
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: dialer.is_up)
            side.incarnation = 'life-2'
            side.cut()
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.UNKNOWN
            assert answers[0].reason is RefusalReason.CONNECTION_LOST

    async def test_says_not_run_of_what_was_never_written(self) -> None:
        """Without a greeting nothing is written, so nothing has run."""
        async with linked() as (side, dialer):
            side.greets = False
            answers: list[RunAnswer] = []
            dialer.send(order(is_repeatable=False), answers.append)
            await until(lambda: bool(answers))
            assert answers[0].outcome is Outcome.NOT_RUN
            assert dialer.is_down

    async def test_ends_its_calls_when_closed(self) -> None:
        """Every order has an end, also when the link is given up."""
        async with linked() as (side, dialer):
            side.answers = False
            answers: list[RunAnswer] = []
            dialer.send(order(), answers.append)
            await until(lambda: dialer.is_up)
            dialer.close()
            assert answers[0].outcome is Outcome.UNKNOWN
