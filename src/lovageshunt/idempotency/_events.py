"""Events that ``RunOnce`` handles."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeNode
from lovageshunt.idempotency._records import (
    DepartedNode,
    Ending,
    HandOverEntry,
    InquiryAnswer,
    RefusedCall,
)


class AttemptReceived(Record):
    """An attempt of a call that must run at most once has arrived.

    - ``call_id``: identifies this arrival, unique within the node.
    - ``key``: identifies the call, the same for all its attempts.
    - ``attempt``: attempt number of the root request, 0 if unknown.
    - ``deadline``: in seconds of the node's clock.
    - ``stamp``: the node that the sender chose as the call's home.
    - ``age_ms``: age of the root request, ``None`` if not stated.
    - ``peers``: the other listed nodes of the service, ``None`` if no member
      list was read yet.
    - ``gone``: nodes that left the list within the retention time.
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
        stamp: HomeNode | None = None,
        age_ms: int | None = None,
        peers: tuple[HomeNode, ...] | None = None,
        gone: tuple[DepartedNode, ...] = (),
    ) -> None:
        self.call_id = call_id
        self.key = key
        self.attempt = attempt
        self.deadline = deadline
        self.stamp = stamp
        self.age_ms = age_ms
        self.peers = peers
        self.gone = gone


class DispatchDue(Record):
    """Admission accepted a call; nothing was sent to the target yet."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class Refused(RefusedCall):
    """Admission or another part of the node refused a call."""

    __slots__ = ()


class Completed(Record):
    """A dispatched call ended.

    The outcome *not run* means that the target itself proved it.
    """

    __slots__ = ('key', 'ending')

    def __init__(self, *, key: str, ending: Ending) -> None:
        self.key = key
        self.ending = ending


class WaiterCancelled(Record):
    """The caller of an arrival disconnected and expects no answer."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class RedirectFailed(Record):
    """The home to which an arrival was redirected was unreachable."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class InquiryReceived(Record):
    """A peer asks whether a call ran here and for a promise not to run it.

    ``age_ms`` is the age of the call at the asker and ``digest`` covers the
    nodes that the asker knows. ``peers`` and ``gone`` are what this node
    knows, as in ``AttemptReceived``.
    """

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
        asker: HomeNode,
        age_ms: int,
        number: int,
        digest: int = 0,
        peers: tuple[HomeNode, ...] = (),
        gone: tuple[DepartedNode, ...] = (),
    ) -> None:
        self.key = key
        self.asker = asker
        self.age_ms = age_ms
        self.number = number
        self.digest = digest
        self.peers = peers
        self.gone = gone


class InquiryAnswered(Record):
    """A peer answered inquiry ``number`` of this node."""

    __slots__ = ('key', 'peer', 'number', 'answer')

    def __init__(
        self,
        *,
        key: str,
        peer: HomeNode,
        number: int,
        answer: InquiryAnswer,
    ) -> None:
        self.key = key
        self.peer = peer
        self.number = number
        self.answer = answer


class InquiryFailed(Record):
    """A peer gave no usable answer to inquiry ``number`` of this node."""

    __slots__ = ('key', 'peer', 'number')

    def __init__(self, *, key: str, peer: HomeNode, number: int) -> None:
        self.key = key
        self.peer = peer
        self.number = number


class Settled(Record):
    """Every listed peer confirmed that it lists this node's incarnation.

    Until then an inquiry by a peer may miss this node, so it accepts no first
    attempt unless it is the only node listed. The event is repeated after a
    suspension of at least the retention time.
    """

    __slots__ = ()


class RunOnceTicked(Record):
    """A periodic tick, sent several times per ``inquiry_seconds``."""

    __slots__ = ()


class Resumed(Record):
    """The process was suspended, or its event loop stalled.

    ``gap_seconds`` is the duration.
    """

    __slots__ = ('gap_seconds',)

    def __init__(self, *, gap_seconds: float) -> None:
        self.gap_seconds = gap_seconds


class Leaving(Record):
    """The node begins a planned stop and accepts no new calls."""

    __slots__ = ()


class Drained(Record):
    """All running calls ended, or the drain timeout expired."""

    __slots__ = ()


class HandOverReceived(Record):
    """A leaving peer handed over all entries of its table."""

    __slots__ = ('leaver', 'entries')

    def __init__(
        self,
        *,
        leaver: HomeNode,
        entries: tuple[HandOverEntry, ...],
    ) -> None:
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
_NodeEvent = Settled | RunOnceTicked | Resumed | Leaving | Drained
Event = _CallEvent | _PeerEvent | _NodeEvent
