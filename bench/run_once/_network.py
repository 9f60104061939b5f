"""Delivery of messages, and execution of the actions of nodes."""

from collections import Counter
from collections.abc import Callable
from functools import singledispatch, singledispatchmethod

from bench.run_once._machine import Machine
from bench.run_once._messages import (
    AnswerMessage,
    InquiryMessage,
    Message,
    ReplyMessage,
    RequestMessage,
)
from lovageshunt import idempotency as run_once
from lovageshunt.calls import HomeNode, Outcome

_TIMEOUT_SECONDS = 5
_TRANSIT_SECONDS = 5
_MS_PER_SECOND = 1000


class Network:
    """Machines by name and the messages in transit.

    The driver decides which message is delivered next and when ``now``, in
    seconds, advances. ``executions`` counts the runs at the targets by key,
    and ``question`` is the inquiry received last.
    """

    def __init__(self) -> None:
        self.now = float(1000)
        self.by_name: dict[str, Machine] = {}
        self.messages: list[Message] = []
        self.executions: Counter[str] = Counter()
        self.question: run_once.Inquire | None = None
        self.on_answer: Callable[[str, Outcome], None] = _ignore
        self.on_unsent: Callable[[str], None] = _ignore_unsent

    def send(self, message: Message) -> None:
        """Queue a message for delivery."""
        self.messages.append(message)

    def handle_event(self, machine: Machine, event: run_once.Event) -> None:
        """Pass an event to a node and perform the resulting actions."""
        for action in machine.node.handle(event, self.now):
            _perform(action, machine, self)

    def receive(self, machine: Machine, message: Message) -> None:
        """Pass a message to a node, or buffer it while the node is frozen."""
        if machine.frozen_at is not None:
            machine.buffered.append(message)
            return
        if isinstance(message, InquiryMessage):
            self.question = message.question
        self.handle_event(machine, _event_of(message, machine, self.now))

    def reach(self, machine: Machine, home: HomeNode) -> Machine | None:
        """Return the peer's VM, or ``None`` if it cannot be reached.

        It is unreachable if it is gone, is another incarnation, or is in
        another partition.
        """
        peer = self.by_name.get(home.node)
        if (
            peer is None
            or peer.home != home
            or peer.partition != machine.partition
        ):
            return None
        return peer

    @singledispatchmethod
    def deliver(self, message: Message) -> None:
        """Deliver a message to its recipient, if there is one."""
        raise NotImplementedError(type(message))

    @deliver.register
    def _deliver_request(self, message: RequestMessage) -> None:
        machine = self.by_name.get(message.to)
        if machine is None:
            self._report_unsent(message)
            return
        if self.now - message.sent_at <= _TRANSIT_SECONDS:
            self.receive(machine, message)

    @deliver.register
    def _deliver_inquiry(self, message: InquiryMessage) -> None:
        asker = self.by_name.get(message.asker.node)
        if asker is None or asker.home != message.asker:
            return
        peer = self.by_name.get(message.question.peer.node)
        if peer is not None and peer.partition == asker.partition:
            self.receive(peer, message)
            return
        failed = ReplyMessage(
            asker=message.asker,
            question=message.question,
            answer=None,
        )
        self.send(failed)

    @deliver.register
    def _deliver_reply(self, message: ReplyMessage) -> None:
        machine = self.by_name.get(message.asker.node)
        if machine is not None and machine.home == message.asker:
            self.receive(machine, message)

    @deliver.register
    def _deliver_answer(self, message: AnswerMessage) -> None:
        self.on_answer(message.call_id, message.outcome)

    def _report_unsent(self, message: RequestMessage) -> None:
        """Report to the sender that no connection was made."""
        if not message.is_redirected:
            self.on_unsent(message.call_id)
            return
        unknown = AnswerMessage(
            call_id=message.call_id,
            outcome=Outcome.UNKNOWN,
        )
        self.send(unknown)


def age_ms_of(call_id: str, now: float) -> int:
    """Return a request's age in ms, from the start time in its call id."""
    born_at = float(call_id.split('/')[1])
    return round((now - born_at) * _MS_PER_SECOND)


def _ignore(call_id: str, outcome: Outcome) -> None:
    """Discard an answer."""


def _ignore_unsent(call_id: str) -> None:
    """Discard the report of an attempt that was not sent."""


@singledispatch
def _event_of(
    message: Message,
    machine: Machine,
    now: float,
) -> run_once.Event:
    raise NotImplementedError(type(message))


@_event_of.register
def _attempt_received(
    message: RequestMessage,
    machine: Machine,
    now: float,
) -> run_once.Event:
    return run_once.AttemptReceived(
        call_id=message.call_id,
        key=message.key,
        attempt=message.attempt,
        deadline=now + _TIMEOUT_SECONDS,
        stamp=message.stamp,
        age_ms=message.age_ms,
        peers=tuple(machine.listed),
        gone=machine.departed(now),
    )


@_event_of.register
def _inquiry_received(
    message: InquiryMessage,
    machine: Machine,
    now: float,
) -> run_once.Event:
    return run_once.InquiryReceived(
        key=message.question.key,
        asker=message.asker,
        age_ms=message.question.age_ms,
        number=message.question.number,
        digest=message.question.digest,
        peers=tuple(machine.listed),
        gone=machine.departed(now),
    )


@_event_of.register
def _inquiry_ended(
    message: ReplyMessage,
    machine: Machine,
    now: float,
) -> run_once.Event:
    question = message.question
    if message.answer is None:
        return run_once.InquiryFailed(
            key=question.key,
            peer=question.peer,
            number=question.number,
        )
    return run_once.InquiryAnswered(
        key=question.key,
        peer=question.peer,
        number=question.number,
        answer=message.answer,
    )


@singledispatch
def _perform(
    action: run_once.Action,
    machine: Machine,
    network: Network,
) -> None:
    """Ignore other actions: the call stays pending."""


@_perform.register
def _run(action: run_once.Run, machine: Machine, network: Network) -> None:
    machine.queue.append(action.call_id)


@_perform.register
def _dispatch(
    action: run_once.Dispatch,
    machine: Machine,
    network: Network,
) -> None:
    network.executions[action.key] += 1
    machine.running[action.call_id] = action.key


@_perform.register
def _replay(
    action: run_once.Replay,
    machine: Machine,
    network: Network,
) -> None:
    outcome = action.ending.outcome
    network.send(AnswerMessage(call_id=action.call_id, outcome=outcome))


@_perform.register(run_once.AnswerNotRun)
@_perform.register(run_once.AnswerUnknown)
def _refuse(
    action: run_once.AnswerNotRun | run_once.AnswerUnknown,
    machine: Machine,
    network: Network,
) -> None:
    is_unknown = isinstance(action, run_once.AnswerUnknown)
    outcome = Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
    network.send(AnswerMessage(call_id=action.call_id, outcome=outcome))


@_perform.register
def _redirect(
    action: run_once.Redirect,
    machine: Machine,
    network: Network,
) -> None:
    redirected = RequestMessage(
        call_id=action.call_id,
        key=action.call_id.split('/')[0],
        attempt=action.attempt,
        stamp=action.stamp,
        age_ms=age_ms_of(action.call_id, network.now),
        to=action.home.node,
        sent_at=network.now,
        is_redirected=True,
    )
    network.send(redirected)


@_perform.register
def _inquire(
    action: run_once.Inquire,
    machine: Machine,
    network: Network,
) -> None:
    network.send(InquiryMessage(asker=machine.home, question=action))


@_perform.register
def _answer_inquiry(
    action: run_once.AnswerInquiry,
    machine: Machine,
    network: Network,
) -> None:
    # The reply repeats the question: the asker knows only which address it
    # sent the inquiry to.
    question = network.question
    if question is None:
        return
    reply = ReplyMessage(
        asker=action.asker,
        question=question,
        answer=action.answer,
    )
    network.send(reply)
