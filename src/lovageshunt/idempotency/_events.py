"""What is told to the decision to run a call at most once."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeStamp
from lovageshunt.idempotency._records import (
    DepartedNode,
    Ending,
    HandOverEntry,
    InquiryAnswer,
    RefusedCall,
)


class AttemptReceived(Record):
    """An attempt of a call that must run at most once has arrived.

    ``call_id`` names this arrival and is unique in the node; ``key`` names
    the call and is the same at each attempt. ``attempt`` is that of the root
    request, 0 when it is unknown. ``age_ms`` is ``None`` when not stated.
    ``deadline`` is in seconds of the node's clock. ``peers`` are the other
    nodes of the service that are listed, ``None`` when no list was ever
    read; ``gone`` are those that were listed within the retention time.
    """

    __slots__ = (
        'call_id',
        'key',
        'attempt',
        'deadline',
        'stamp',
        'age_ms',
        'peers',
        'gone',
    )

    def __init__(
        self,
        *,
        call_id: str,
        key: str,
        attempt: int,
        deadline: float,
        stamp: HomeStamp | None = None,
        age_ms: int | None = None,
        peers: tuple[HomeStamp, ...] | None = None,
        gone: tuple[DepartedNode, ...] = (),
    ) -> None:
        """Take what the arrival says and what the node knows of peers."""
        self.call_id = call_id
        self.key = key
        self.attempt = attempt
        self.deadline = deadline
        self.stamp = stamp
        self.age_ms = age_ms
        self.peers = peers
        self.gone = gone


class DispatchDue(Record):
    """Admission let a call through; its first byte would be written next."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Name the arrival that was told to run."""
        self.call_id = call_id


class Refused(RefusedCall):
    """Admission or another part of the node refused a call."""

    __slots__ = ()


class Completed(Record):
    """A dispatched call ended.

    An ending of *not run* is the target's own proof that nothing ran.
    """

    __slots__ = ('key', 'ending')

    def __init__(self, *, key: str, ending: Ending) -> None:
        """Take the call's key and how it ended."""
        self.key = key
        self.ending = ending


class WaiterCancelled(Record):
    """The caller of an arrival has gone; no answer is wanted."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Name the arrival."""
        self.call_id = call_id


class RedirectFailed(Record):
    """The home to which an arrival was sent could not be reached."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Name the arrival."""
        self.call_id = call_id


class InquiryReceived(Record):
    """A peer asks whether a call ran here, and for a promise that it won't."""

    __slots__ = (
        'key',
        'asker',
        'age_ms',
        'number',
        'digest',
        'peers',
        'gone',
    )

    def __init__(
        self,
        *,
        key: str,
        asker: HomeStamp,
        age_ms: int,
        number: int,
        digest: int = 0,
        peers: tuple[HomeStamp, ...] = (),
        gone: tuple[DepartedNode, ...] = (),
    ) -> None:
        """Take the question and what the inquired node knows of peers."""
        self.key = key
        self.asker = asker
        self.age_ms = age_ms
        self.number = number
        self.digest = digest
        self.peers = peers
        self.gone = gone


class InquiryAnswered(Record):
    """A peer answered an inquiry of this node."""

    __slots__ = ('key', 'peer', 'number', 'answer')

    def __init__(
        self,
        *,
        key: str,
        peer: HomeStamp,
        number: int,
        answer: InquiryAnswer,
    ) -> None:
        """Take the answer and the inquiry it belongs to."""
        self.key = key
        self.peer = peer
        self.number = number
        self.answer = answer


class InquiryFailed(Record):
    """A peer could not be asked, or another incarnation answered."""

    __slots__ = ('key', 'peer', 'number')

    def __init__(self, *, key: str, peer: HomeStamp, number: int) -> None:
        """Name the peer and the inquiry."""
        self.key = key
        self.peer = peer
        self.number = number


class Settled(Record):
    """Every listed peer confirmed that it lists this node's incarnation.

    Until then an inquiry elsewhere may miss this node, so it takes no first
    attempt unless it is the only node listed. It is told again after a
    suspension of the retention time or longer.
    """

    __slots__ = ()


class Ticked(Record):
    """Time passed; due a few times within ``inquiry_seconds``."""

    __slots__ = ()


class Resumed(Record):
    """The process was suspended, or its loop stalled, for so long."""

    __slots__ = ('gap_seconds',)

    def __init__(self, *, gap_seconds: float) -> None:
        """Take the length of the gap."""
        self.gap_seconds = gap_seconds


class Leaving(Record):
    """The node begins a planned stop and takes no new calls."""

    __slots__ = ()


class Drained(Record):
    """Everything that ran has ended, or the drain's time is over."""

    __slots__ = ()


class HandOverReceived(Record):
    """A peer that leaves hands over the calls it knows."""

    __slots__ = ('leaver', 'entries')

    def __init__(
        self,
        *,
        leaver: HomeStamp,
        entries: tuple[HandOverEntry, ...],
    ) -> None:
        """Take the leaver and all of its calls."""
        self.leaver = leaver
        self.entries = entries


_CallEvent = (
    AttemptReceived
    | DispatchDue
    | Refused
    | Completed
    | WaiterCancelled
    | RedirectFailed
)
_PeerEvent = (
    InquiryReceived | InquiryAnswered | InquiryFailed | HandOverReceived
)
_NodeEvent = Settled | Ticked | Resumed | Leaving | Drained
Event = _CallEvent | _PeerEvent | _NodeEvent
