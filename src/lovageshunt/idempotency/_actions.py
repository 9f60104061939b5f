"""Actions that ``RunOnce`` returns for its node to carry out."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeNode
from lovageshunt.idempotency._records import (
    Ending,
    HandOverEntry,
    InquiryAnswer,
    RefusedCall,
)


class Run(Record):
    """Submit the arrival to admission; on admission report ``DispatchDue``."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class Dispatch(Record):
    """Send the call to the target now."""

    __slots__ = ('call_id', 'key')

    def __init__(self, *, call_id: str, key: str) -> None:
        self.call_id = call_id
        self.key = key


class Wait(Record):
    """Hold the arrival until a later action answers or runs it."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class Replay(Record):
    """Answer the arrival with the stored result of the call."""

    __slots__ = ('call_id', 'ending')

    def __init__(self, *, call_id: str, ending: Ending) -> None:
        self.call_id = call_id
        self.ending = ending


class AnswerUnknown(RefusedCall):
    """Answer *unknown*, with the delay before a retry."""

    __slots__ = ()


class AnswerNotRun(RefusedCall):
    """Answer *not run*, with the delay before a retry.

    This attempt and all earlier ones did not and will not run on any node.
    """

    __slots__ = ()


class Redirect(Record):
    """Forward the arrival to ``home`` with this stamp and attempt number."""

    __slots__ = ('call_id', 'home', 'stamp', 'attempt')

    def __init__(
        self,
        *,
        call_id: str,
        home: HomeNode,
        stamp: HomeNode | None,
        attempt: int,
    ) -> None:
        self.call_id = call_id
        self.home = home
        self.stamp = stamp
        self.attempt = attempt


class Inquire(Record):
    """Send an inquiry to a peer; report its answer or the failure.

    ``age_ms`` is the age of the call and ``digest`` covers the nodes that
    the asker knows. ``number`` identifies the inquiry at the asker.
    """

    __slots__ = ('key', 'peer', 'age_ms', 'number', 'digest')

    def __init__(
        self,
        *,
        key: str,
        peer: HomeNode,
        age_ms: int,
        number: int,
        digest: int = 0,
    ) -> None:
        self.key = key
        self.peer = peer
        self.age_ms = age_ms
        self.number = number
        self.digest = digest


class AnswerInquiry(Record):
    """Answer inquiry ``number`` of the peer ``asker``."""

    __slots__ = ('key', 'asker', 'number', 'answer')

    def __init__(
        self,
        *,
        key: str,
        asker: HomeNode,
        number: int,
        answer: InquiryAnswer,
    ) -> None:
        self.key = key
        self.asker = asker
        self.number = number
        self.answer = answer


class HandOver(Record):
    """Send the complete set of entries to at least two peers, then exit."""

    __slots__ = ('entries',)

    def __init__(self, *, entries: tuple[HandOverEntry, ...]) -> None:
        self.entries = entries


Action = (
    Run
    | Dispatch
    | Wait
    | Replay
    | AnswerUnknown
    | AnswerNotRun
    | Redirect
    | Inquire
    | AnswerInquiry
    | HandOver
)
