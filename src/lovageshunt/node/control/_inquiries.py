"""What this node asks, answers and hands to others about single calls."""

from asyncio import (
    Future,
    Task,
    create_task,
    get_running_loop,
    wait,
    wait_for,
)
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    ContextKey,
    HomeStamp,
    Outcome,
    RefusalReason,
    decode_answer,
    encode_context,
)
from lovageshunt.client import HttpResponse, InboundRequest, Transport
from lovageshunt.errors import MalformedAnswerError, MalformedEnvelopeError
from lovageshunt.idempotency import (
    AnswerInquiry,
    Ending,
    HandOver,
    Inquire,
    InquiryAnswer,
    InquiryAnswered,
    InquiryFailed,
    Redirect,
    StoredAnswer,
)
from lovageshunt.node.control._control import Control
from lovageshunt.node.control._inquiry_codec import (
    decode_inquiry_answer,
    encode_hand_over,
    encode_inquiry,
)
from lovageshunt.node.control._peer_link import (
    HAND_OVER_PATH,
    INQUIRY_PATH,
    PeerLink,
)
from lovageshunt.node.serving._border import Admissible, forwarded_context
from lovageshunt.node.serving._target import forwardable, passing_headers
from lovageshunt.retries import SuspectReport

_ANSWER_SECONDS: Final = 1.0
_HAND_OVER_SECONDS: Final = 3.0
_HTTP_OK: Final = 200
#: Named apart from a call's key, so that two askers of one key differ.
_Question = tuple[str, str, str, int]


class Inquiries:
    """Speaks with the nodes of the own service about single calls."""

    def __init__(
        self,
        control: Control,
        link: PeerLink,
        transport: Transport,
        key: ContextKey | None,
    ) -> None:
        """Begin with no question open."""
        self._key = key
        self._control = control
        self._link = link
        self._transport = transport
        self._handing: set[Task[None]] = set()
        self._open: dict[_Question, Future[InquiryAnswer]] = {}

    def tell_suspects(self, reports: tuple[SuspectReport, ...]) -> None:
        """Tell every node of the service about suspects."""
        self._control.tell_suspects(reports)

    async def ask(self, inquiry: Inquire) -> Record:
        """Ask a peer; return the event for the run-once table."""
        failed = InquiryFailed(
            key=inquiry.key,
            peer=inquiry.peer,
            number=inquiry.number,
        )
        address = self._control.admin_address(inquiry.peer.node)
        if address is None:
            return failed
        posted = await self._link.post(
            address,
            INQUIRY_PATH,
            encode_inquiry(self._control.identity.home, inquiry),
            _ANSWER_SECONDS,
        )
        if posted.is_error() or posted.ok.status != _HTTP_OK:
            return failed
        try:
            answer = decode_inquiry_answer(posted.ok.body)
        except MalformedEnvelopeError:
            return failed
        return InquiryAnswered(
            key=inquiry.key,
            peer=inquiry.peer,
            number=inquiry.number,
            answer=answer,
        )

    def expect(
        self,
        key: str,
        asker: HomeStamp,
        number: int,
    ) -> Future[InquiryAnswer]:
        """Return where the own answer to a peer's question will appear."""
        answer: Future[InquiryAnswer] = get_running_loop().create_future()
        self._open[(key, asker.node, asker.incarnation, number)] = answer
        return answer

    def answered(self, action: AnswerInquiry) -> None:
        """Take the own answer to a peer's question."""
        asker = action.asker
        question = (action.key, asker.node, asker.incarnation, action.number)
        answer = self._open.pop(question, None)
        if answer is not None and not answer.done():
            answer.set_result(action.answer)

    async def flush(self) -> None:
        """Wait until what was handed over has been sent."""
        if self._handing:
            await wait(self._handing, timeout=_HAND_OVER_SECONDS)

    def start_hand_over(self, action: HandOver) -> None:
        """Begin to hand over; ``flush`` waits for it."""
        self._handing.add(create_task(self.hand_over(action)))

    async def hand_over(self, action: HandOver) -> None:
        """Give what this leaving node knows to every peer of the service."""
        body = encode_hand_over(self._control.identity.home, action.entries)
        for member in self._control.members(self._control.identity.service):
            address = self._control.admin_address(member.name)
            if address is not None:
                await self._link.post(address, HAND_OVER_PATH, body)

    async def redirect(
        self,
        inbound: InboundRequest,
        admissible: Admissible,
        action: Redirect,
        *,
        seconds_left: float,
        held_seconds: float,
    ) -> Ending:
        """Send a call to its home and return how it ended there.

        ``held_seconds`` is how long it was held here, and so adds to its age.
        """
        address = self._control.fleet.ingress_address(action.home.node)
        if address is None:
            return _in_doubt()
        context = forwarded_context(
            admissible.context,
            home=action.stamp,
            seconds_left=seconds_left,
            elapsed_seconds=held_seconds,
            trace_parent=admissible.context.trace_parent,
        )
        context.attempt = action.attempt
        headers = forwardable(inbound.headers)
        headers[CONTEXT_HEADER] = encode_context(context, self._key)
        exchange = await self._transport.send(
            address=address,
            method=inbound.method,
            target=inbound.target,
            headers=headers,
            body=inbound.body,
            timeout_seconds=seconds_left,
        )
        if exchange.is_error():
            return _in_doubt()
        return _ending_of(exchange.ok, context.call_id)


async def wait_for_answer(answer: Future[InquiryAnswer]) -> InquiryAnswer:
    """Wait for the own answer; raises ``TimeoutError`` when it is late."""
    return await wait_for(answer, _ANSWER_SECONDS)


def _in_doubt() -> Ending:
    return Ending(
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.CONNECTION_LOST,
    )


def _ending_of(whole: HttpResponse, call_id: str) -> Ending:
    try:
        said = decode_answer(whole.headers.get(ANSWER_HEADER, ''), call_id)
    except MalformedAnswerError:
        return _in_doubt()
    return Ending(
        outcome=said.outcome,
        reason=said.reason,
        answer=StoredAnswer(
            status=whole.status,
            headers=passing_headers(whole.headers),
            body=whole.body,
        ),
    )
