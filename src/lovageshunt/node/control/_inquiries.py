"""Inquiries, redirects and hand-overs between nodes of one service."""

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
    HomeNode,
    Outcome,
    RefusalReason,
    decode_answer,
    encode_context,
)
from lovageshunt.client import InboundRequest, Transport, TransportResponse
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
from lovageshunt.node.serving._http_boundary import (
    ParsedCall,
    forwarded_context,
)
from lovageshunt.node.serving._target import (
    end_to_end_headers,
    end_to_end_items,
)
from lovageshunt.retries import SuspectReport

_INQUIRY_TIMEOUT_SECONDS: Final = 1.0
_FLUSH_TIMEOUT_SECONDS: Final = 3.0
_HTTP_OK: Final = 200
#: Key, asker's node and incarnation, number: two askers of a key differ.
_InquiryId = tuple[str, str, str, int]


class Inquiries:
    """Exchanges state of single calls with nodes of the own service."""

    def __init__(
        self,
        control: Control,
        link: PeerLink,
        transport: Transport,
        key: ContextKey | None,
    ) -> None:
        self._key = key
        self._control = control
        self._link = link
        self._transport = transport
        self._hand_over_tasks: set[Task[None]] = set()
        self._answers: dict[_InquiryId, Future[InquiryAnswer]] = {}

    def report_suspects(self, reports: tuple[SuspectReport, ...]) -> None:
        """Report suspects to every node of the service."""
        self._control.report_suspects(reports)

    async def ask(self, inquiry: Inquire) -> Record:
        """Send an inquiry; return the resulting run-once event.

        Any failure, also a malformed answer, gives ``InquiryFailed``.
        """
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
            _INQUIRY_TIMEOUT_SECONDS,
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

    def expect_answer(
        self,
        key: str,
        asker: HomeNode,
        number: int,
    ) -> Future[InquiryAnswer]:
        """Return a future for this node's answer to a peer's inquiry."""
        answer: Future[InquiryAnswer] = get_running_loop().create_future()
        self._answers[(key, asker.node, asker.incarnation, number)] = answer
        return answer

    def resolve_answer(self, action: AnswerInquiry) -> None:
        """Resolve the future of this node's answer to a peer's inquiry."""
        asker = action.asker
        inquiry_id = (action.key, asker.node, asker.incarnation, action.number)
        answer = self._answers.pop(inquiry_id, None)
        if answer is not None and not answer.done():
            answer.set_result(action.answer)

    async def flush(self) -> None:
        """Wait for the pending hand-overs, at most 3 s."""
        if self._hand_over_tasks:
            await wait(self._hand_over_tasks, timeout=_FLUSH_TIMEOUT_SECONDS)

    def start_hand_over(self, action: HandOver) -> None:
        """Start a hand-over in the background; ``flush`` waits for it."""
        self._hand_over_tasks.add(create_task(self.hand_over(action)))

    async def hand_over(self, action: HandOver) -> None:
        """Send this leaving node's call records to every service peer."""
        body = encode_hand_over(self._control.identity.home, action.entries)
        for member in self._control.members(self._control.identity.service):
            address = self._control.admin_address(member.name)
            if address is not None:
                await self._link.post(address, HAND_OVER_PATH, body)

    async def redirect(
        self,
        inbound: InboundRequest,
        parsed: ParsedCall,
        action: Redirect,
        *,
        seconds_left: float,
        held_seconds: float,
    ) -> Ending:
        """Send a call to its home node and return its ending there.

        The ending is *unknown* when the home cannot be reached or its answer
        is malformed. ``held_seconds`` is the time that the call spent here;
        it is added to the call's age.
        """
        address = self._control.fleet.ingress_address(action.home.node)
        if address is None:
            return _unknown_ending()
        context = forwarded_context(
            parsed.context,
            home=action.stamp,
            seconds_left=seconds_left,
            elapsed_seconds=held_seconds,
            trace_parent=parsed.context.trace_parent,
        )
        context.attempt = action.attempt
        headers = end_to_end_headers(inbound.headers)
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
            return _unknown_ending()
        return _ending_of(exchange.ok, context.call_id)


async def wait_for_answer(answer: Future[InquiryAnswer]) -> InquiryAnswer:
    """Wait for the answer; raises ``TimeoutError`` after 1 s."""
    return await wait_for(answer, _INQUIRY_TIMEOUT_SECONDS)


def _unknown_ending() -> Ending:
    return Ending(
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.CONNECTION_LOST,
    )


def _ending_of(response: TransportResponse, call_id: str) -> Ending:
    try:
        info = decode_answer(response.headers.get(ANSWER_HEADER, ''), call_id)
    except MalformedAnswerError:
        return _unknown_ending()
    return Ending(
        outcome=info.outcome,
        reason=info.reason,
        answer=StoredAnswer(
            status=response.status,
            headers=end_to_end_items(response.headers),
            body=response.body,
        ),
    )
