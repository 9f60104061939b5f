"""What is on its way in the fleet."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeNode, Outcome
from lovageshunt.idempotency import Inquire, InquiryAnswer


class RequestMessage(Record):
    """An attempt on its way to the node of a name."""

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
        """Take the attempt, where it goes and when it left."""
        self.call_id = call_id
        self.key = key
        self.attempt = attempt
        self.stamp = stamp
        self.age_ms = age_ms
        self.to = to
        self.sent_at = sent_at
        self.is_redirected = is_redirected


class InquiryMessage(Record):
    """An inquiry on its way to a peer."""

    __slots__ = ('asker', 'question')

    def __init__(self, *, asker: HomeNode, question: Inquire) -> None:
        """Take the asker and its question."""
        self.asker = asker
        self.question = question


class ReplyMessage(Record):
    """The answer to an inquiry, ``None`` when the peer was not reached."""

    __slots__ = ('asker', 'question', 'answer')

    def __init__(
        self,
        *,
        asker: HomeNode,
        question: Inquire,
        answer: InquiryAnswer | None,
    ) -> None:
        """Take the question and what came back."""
        self.asker = asker
        self.question = question
        self.answer = answer


class AnswerMessage(Record):
    """What a node tells the caller of an attempt."""

    __slots__ = ('call_id', 'outcome')

    def __init__(self, *, call_id: str, outcome: Outcome) -> None:
        """Take the attempt and its outcome."""
        self.call_id = call_id
        self.outcome = outcome


Message = RequestMessage | InquiryMessage | ReplyMessage | AnswerMessage
