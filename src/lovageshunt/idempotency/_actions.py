"""What the decision to run a call at most once asks of its node."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeStamp
from lovageshunt.idempotency._records import (
    Ending,
    HandOverEntry,
    InquiryAnswer,
    RefusedCall,
)


class Run(Record):
    """Pass the arrival to admission, then report ``DispatchDue``."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Name the arrival."""
        self.call_id = call_id


class Dispatch(Record):
    """Write the call to the target now."""

    __slots__ = ('call_id', 'key')

    def __init__(self, *, call_id: str, key: str) -> None:
        """Name the arrival and the call."""
        self.call_id = call_id
        self.key = key


class Wait(Record):
    """Hold the arrival; another action will end it."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Name the arrival."""
        self.call_id = call_id


class Replay(Record):
    """Answer the arrival with how the call ended before."""

    __slots__ = ('call_id', 'ending')

    def __init__(self, *, call_id: str, ending: Ending) -> None:
        """Name the arrival and the ending."""
        self.call_id = call_id
        self.ending = ending


class AnswerUnknown(RefusedCall):
    """Answer *unknown*, with when to come back."""

    __slots__ = ()


class AnswerNotRun(RefusedCall):
    """Answer *not run*, with when to come back.

    It holds for this attempt and for all before it, here and elsewhere.
    """

    __slots__ = ()


class Redirect(Record):
    """Send the arrival to ``home`` with the stamp and attempt given here."""

    __slots__ = ('call_id', 'home', 'stamp', 'attempt')

    def __init__(
        self,
        *,
        call_id: str,
        home: HomeStamp,
        stamp: HomeStamp | None,
        attempt: int,
    ) -> None:
        """Name the arrival, where it goes and what it carries."""
        self.call_id = call_id
        self.home = home
        self.stamp = stamp
        self.attempt = attempt


class Inquire(Record):
    """Ask a peer about a call; report the answer or the failure.

    ``digest`` is that of the nodes which the asker knows.
    """

    __slots__ = ('key', 'peer', 'age_ms', 'number', 'digest')

    def __init__(
        self,
        *,
        key: str,
        peer: HomeStamp,
        age_ms: int,
        number: int,
        digest: int = 0,
    ) -> None:
        """Name the call, the peer, the call's age and the inquiry."""
        self.key = key
        self.peer = peer
        self.age_ms = age_ms
        self.number = number
        self.digest = digest


class AnswerInquiry(Record):
    """Answer the asker of an inquiry."""

    __slots__ = ('key', 'asker', 'number', 'answer')

    def __init__(
        self,
        *,
        key: str,
        asker: HomeStamp,
        number: int,
        answer: InquiryAnswer,
    ) -> None:
        """Name the call, the asker and its inquiry."""
        self.key = key
        self.asker = asker
        self.number = number
        self.answer = answer


class HandOver(Record):
    """Give all entries to two or more peers, each the whole, then exit."""

    __slots__ = ('entries',)

    def __init__(self, *, entries: tuple[HandOverEntry, ...]) -> None:
        """Take what the heirs must know."""
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
