"""The side of a link that accepts orders, with the frames fed in."""

from collections.abc import Callable
from typing import Any

import pytest

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.links import (
    FrameKind,
    FrameReader,
    Greeting,
    IncomingLink,
    IncomingLinks,
    RecentOrders,
    RunAnswer,
    RunOrder,
    decode_answer,
    encode_frame,
    encode_message,
    encode_order,
)
from tests.http1.wire import FakeTransport
from tests.links.orders import order

LARGE = order(body=bytes(1_000_000))
ANSWER = RunAnswer(outcome=Outcome.ANSWERED, status=200, body=b'ok')


class ScriptedHandler:
    """Notes the orders that are started; ends them when told to."""

    def __init__(self) -> None:
        self.started: list[RunOrder] = []
        self.ends: list[Callable[[RunAnswer], None]] = []
        self.received_bytes: list[int] = []

    def submit(
        self,
        order: RunOrder,
        ended: Callable[[RunAnswer], None],
        *,
        received_bytes: int = 0,
    ) -> Any:
        """Note an order and the callback for its end."""
        self.started.append(order)
        self.ends.append(ended)
        self.received_bytes.append(received_bytes)
        return order

    def abandon(self, token: Any) -> Outcome | None:
        """Cancel repeatable orders; others go on."""
        return Outcome.UNKNOWN if token.is_repeatable else None


class Receiver:
    """A node that accepts links, on a clock that the test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = float(1000)
        self.handler = ScriptedHandler()
        self.recent_orders = RecentOrders()
        self.account = MemoryAccount()
        self.open_links: IncomingLinks[IncomingLink] = IncomingLinks()
        monkeypatch.setattr(
            'lovageshunt.links._order_intake.clock_now', lambda: self.now
        )

    def accept_link(self, sender: str = 'sender-1') -> 'SenderLink':
        link = IncomingLink(
            handler=self.handler,
            recent_orders=self.recent_orders,
            greeting=Greeting(node='b', service='s', incarnation='own'),
            open_links=self.open_links,
            on_frame=lambda link, frame: None,
            account=self.account,
        )
        return SenderLink(self, link, sender)


class SenderLink:
    """A link as its sender uses it."""

    def __init__(
        self, receiver: Receiver, link: IncomingLink, sender: str
    ) -> None:
        self._receiver = receiver
        self._link = link
        self._transport = FakeTransport()
        self._rest = b''
        link.connection_made(self._transport)
        if sender:
            self.greet(sender)

    def greet(self, sender: str) -> None:
        hello = Greeting(node='a', service='s', incarnation=sender)
        self._link.data_received(
            encode_frame(FrameKind.GREETING, 0, encode_message(hello))
        )

    def lose(self) -> None:
        self._link.connection_lost(None)

    def cancel(self, stream: int) -> None:
        self._link.data_received(encode_frame(FrameKind.CANCEL, stream))

    def send(self, stream: int, sent: RunOrder) -> None:
        payload = encode_order(sent, self._receiver.now)
        self._link.data_received(encode_frame(FrameKind.ORDER, stream, payload))

    def send_part(self, stream: int, sent: RunOrder, *, kept_back: int) -> None:
        """Send an order but for its last bytes."""
        payload = encode_order(sent, self._receiver.now)
        frame = encode_frame(FrameKind.ORDER, stream, payload)
        self._rest = frame[-kept_back:]
        self._link.data_received(frame[:-kept_back])

    def send_rest(self) -> None:
        self._link.data_received(self._rest)

    def pause(self, unsent_bytes: int) -> None:
        """Read nothing more of what the receiver writes."""
        self._transport.unsent_bytes = unsent_bytes
        self._link.pause_writing()

    @property
    def is_closed(self) -> bool:
        return self._transport.is_closed

    @property
    def answers(self) -> dict[int, RunAnswer]:
        """The answers that were written, by stream number."""
        return {
            frame.stream: decode_answer(frame.payload)
            for frame in FrameReader().feed(self._transport.written)
            if frame.kind == FrameKind.ANSWER
        }


@pytest.fixture
def receiver(monkeypatch: pytest.MonkeyPatch) -> Receiver:
    return Receiver(monkeypatch)


class TestOrderThatArrivesAgain:
    """An order that must not run twice is sent again on a new link."""

    def test_runs_once_however_late_it_comes(self, receiver: Receiver) -> None:
        """An order that was forgotten is told as unknown and not run again.

        Guards against TWICE: the sender and then this node stood still, and
        the order came again after its answer had been dropped.
        """
        once = order(is_repeatable=False, deadline=receiver.now + 6)
        receiver.accept_link().send(1, once)
        receiver.handler.ends[0](ANSWER)
        receiver.now += 60
        receiver.accept_link('sender-2').send(1, once)
        receiver.handler.ends[1](ANSWER)
        resumed = receiver.accept_link()
        resumed.send(1, once)
        assert len(receiver.handler.started) == 2
        assert resumed.answers[1].outcome is Outcome.UNKNOWN
        assert resumed.answers[1].reason is RefusalReason.CONNECTION_LOST

    def test_gets_its_answer_until_its_deadline(
        self, receiver: Receiver
    ) -> None:
        """The answer is kept as long as the client may wait for it."""
        receiver.accept_link().send(
            1, order(is_repeatable=False, deadline=receiver.now + 6)
        )
        receiver.handler.ends[0](ANSWER)
        receiver.now += 5
        link = receiver.accept_link()
        link.send(2, order(deadline=receiver.now + 6))
        receiver.handler.ends[1](ANSWER)
        link.send(1, order(is_repeatable=False, deadline=receiver.now + 1))
        assert len(receiver.handler.started) == 2
        assert link.answers[1].outcome is Outcome.ANSWERED

    def test_gets_its_answer_when_it_ends(self, receiver: Receiver) -> None:
        """An order that runs goes on, and is answered on the new link."""
        once = order(is_repeatable=False, deadline=receiver.now + 6)
        receiver.accept_link().send(1, once)
        link = receiver.accept_link()
        link.send(1, once)
        receiver.handler.ends[0](ANSWER)
        assert len(receiver.handler.started) == 1
        assert link.answers[1].outcome is Outcome.ANSWERED

    def test_is_counted_by_what_became_of_it(self, receiver: Receiver) -> None:
        """The metric tells orders in progress, answered and forgotten."""
        once = order(is_repeatable=False, deadline=receiver.now + 6)
        receiver.accept_link().send(1, once)
        receiver.accept_link().send(1, once)
        receiver.handler.ends[0](ANSWER)
        receiver.accept_link().send(1, once)
        receiver.now += 60
        receiver.accept_link().send(2, once)
        receiver.handler.ends[1](ANSWER)
        receiver.accept_link().send(1, once)
        assert receiver.recent_orders.again_by_state == {
            'in_progress': 1,
            'answered': 1,
            'forgotten': 1,
        }


class TestLateFramesOfAnOlderLink:
    """A cut in one direction delays what was written to a link.

    Its sender has opened a new link by then, and sent its orders again.
    """

    def test_do_not_take_the_answer_from_the_newer_link(
        self, receiver: Receiver
    ) -> None:
        """Guards against a ready answer that is not delivered."""
        once = order(is_repeatable=False, deadline=receiver.now + 6)
        older = receiver.accept_link()
        newer = receiver.accept_link()
        newer.send(1, once)
        older.send(1, once)
        receiver.handler.ends[0](ANSWER)
        assert newer.answers[1].outcome is Outcome.ANSWERED
        assert len(receiver.handler.started) == 1

    def test_start_no_order_that_its_sender_has_given_up(
        self, receiver: Receiver
    ) -> None:
        """Guards against work that runs after its caller was answered."""
        older = receiver.accept_link()
        receiver.accept_link()
        older.send(1, order(is_repeatable=False, deadline=receiver.now + 6))
        assert not receiver.handler.started

    def test_do_not_end_the_newer_link_with_a_late_greeting(
        self, receiver: Receiver
    ) -> None:
        """The link that was accepted last counts, whoever speaks first."""
        older = receiver.accept_link(sender='')
        newer = receiver.accept_link()
        older.greet('sender-1')
        newer.send(1, order(deadline=receiver.now + 6))
        receiver.handler.ends[0](ANSWER)
        assert newer.answers[1].outcome is Outcome.ANSWERED


class TestCancelledOrder:
    """An order whose client has left."""

    def test_is_not_kept(self, receiver: Receiver) -> None:
        """Its memory is freed after a time, however many there are.

        Guards against LOST: a node exceeded its memory and was ended.
        """
        link = receiver.accept_link()
        for stream in range(1, 200):
            link.send(stream, order(deadline=receiver.now + 2))
            link.cancel(stream)
            receiver.now += 0.1
        by_key = receiver.recent_orders.by_key
        assert len(by_key) < 50
        assert all(accepted.token is None for accepted in by_key.values())

    def test_has_an_outcome_if_it_comes_again(self, receiver: Receiver) -> None:
        """It is neither run again nor left without an answer."""
        link = receiver.accept_link()
        link.send(1, order(deadline=receiver.now + 6))
        link.cancel(1)
        resumed = receiver.accept_link()
        resumed.send(1, order(deadline=receiver.now + 6))
        assert len(receiver.handler.started) == 1
        assert resumed.answers[1].outcome is Outcome.UNKNOWN

    def test_goes_on_if_it_must_not_repeat(self, receiver: Receiver) -> None:
        """One that the target runs already is answered as usual."""
        link = receiver.accept_link()
        link.send(1, order(is_repeatable=False, deadline=receiver.now + 6))
        link.cancel(1)
        receiver.handler.ends[0](ANSWER)
        assert link.answers[1].outcome is Outcome.ANSWERED


class TestOrderWithoutRoom:
    """There is too little memory for a large order that arrives."""

    def test_is_refused_before_it_is_whole(self, receiver: Receiver) -> None:
        """It is not run, and the link serves what comes after it."""
        link = receiver.accept_link()
        link.send_part(1, LARGE, kept_back=100)
        receiver.account.open().update(receiver.account.limit_bytes)
        assert link.answers[1].outcome is Outcome.NOT_RUN
        assert link.answers[1].retry_after_ms > 0
        link.send_rest()
        link.send(2, order())
        assert len(receiver.handler.started) == 1
        assert not link.is_closed

    def test_is_not_told_as_not_run_if_it_runs(
        self, receiver: Receiver
    ) -> None:
        """One that is sent again may be running since before."""
        receiver.accept_link().send(1, LARGE)
        link = receiver.accept_link()
        link.send_part(1, LARGE, kept_back=100)
        receiver.account.open().update(receiver.account.limit_bytes)
        assert not link.answers
        receiver.handler.ends[0](ANSWER)
        assert link.answers[1].outcome is Outcome.ANSWERED

    def test_is_counted_until_it_is_handed_over(
        self, receiver: Receiver
    ) -> None:
        """From then on the handler counts it."""
        link = receiver.accept_link()
        link.send_part(1, LARGE, kept_back=100)
        assert receiver.account.held_bytes > len(LARGE.body) - 100
        link.send_rest()
        assert receiver.account.held_bytes == 0
        assert receiver.handler.received_bytes[0] > len(LARGE.body)

    def test_unread_answers_are_counted(self, receiver: Receiver) -> None:
        """A peer that does not read is cut off when room is needed."""
        link = receiver.accept_link()
        link.send(1, order())
        link.pause(70_000)
        assert receiver.account.held_bytes == 70_000
        receiver.account.open().update(receiver.account.limit_bytes)
        assert link.is_closed


class TestIncomingLinks:
    """The links of a node."""

    async def test_forget_a_closed_link(self, receiver: Receiver) -> None:
        """A link that is lost counts no more, nor against a later one."""
        older = receiver.accept_link()
        receiver.accept_link('sender-2')
        assert len(receiver.open_links) == 2
        older.lose()
        assert len(receiver.open_links) == 1
        later = receiver.accept_link()
        later.send(1, order(deadline=receiver.now + 6))
        assert len(receiver.handler.started) == 1

    async def test_bounds_those_that_do_not_greet(self) -> None:
        """The oldest goes first; links of nodes are not touched."""
        links: IncomingLinks[QuietLink] = IncomingLinks()
        named = QuietLink()
        links.add(named)
        links.assign(named, 'sender')
        unnamed = [QuietLink() for _ in range(1002)]
        for each in unnamed:
            links.add(each)
        assert not named.is_aborted
        assert [each.is_aborted for each in unnamed[:3]] == [True, True, False]
        assert not any(each.is_aborted for each in unnamed[3:])


class QuietLink:
    """A link on which nothing arrives."""

    def __init__(self) -> None:
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True
