"""Messages in transit between callers and nodes."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeNode, Outcome
from lovageshunt.idempotency import Inquire, InquiryAnswer


class RequestMessage(Record):
    """An attempt, addressed to a node by name.

    ``sent_at`` is in seconds on the fleet's clock.
    """

    __slots__ = (
        'call_id',
        'key',
        'attempt',
        'stamp',
        'age_ms',
        'to',
        'sent_at',
        'is_redirected',
    )

    def __init__(
        self,
        *,
        call_id: str,
        key: str,
        attempt: int,
        stamp: HomeNode | None,
        age_ms: int,
        to: str,
        sent_at: float,
        is_redirected: bool = False,
    ) -> None:
        self.call_id = call_id
        self.key = key
        self.attempt = attempt
        self.stamp = stamp
        self.age_ms = age_ms
        self.to = to
        self.sent_at = sent_at
        self.is_redirected = is_redirected


class InquiryMessage(Record):
    """An inquiry about a call, addressed to a peer."""

    __slots__ = ('asker', 'question')

    def __init__(self, *, asker: HomeNode, question: Inquire) -> None:
        self.asker = asker
        self.question = question


class ReplyMessage(Record):
    """The reply to an inquiry; ``answer`` is ``None`` if it failed."""

    __slots__ = ('asker', 'question', 'answer')

    def __init__(
        self,
        *,
        asker: HomeNode,
        question: Inquire,
        answer: InquiryAnswer | None,
    ) -> None:
        self.asker = asker
        self.question = question
        self.answer = answer


class AnswerMessage(Record):
    """The outcome that a node returns to the caller of an attempt."""

    __slots__ = ('call_id', 'outcome')

    def __init__(self, *, call_id: str, outcome: Outcome) -> None:
        self.call_id = call_id
        self.outcome = outcome


Message = RequestMessage | InquiryMessage | ReplyMessage | AnswerMessage
