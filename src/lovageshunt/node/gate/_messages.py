"""What the gate is told about calls, and what it asks of its daemon."""

from lovageshunt._record import Record
from lovageshunt.calls import CallContext, HomeNode, RefusalReason
from lovageshunt.idempotency import DepartedNode, Ending


class CallArrived(Record):
    """A call reached this node.

    ``ticket`` names the arrival, unlike the call's id, which a later attempt
    bears too. ``deadline`` is on the node's clock. ``fingerprint`` is the
    same for requests of the same content. ``peers`` and ``gone`` are the
    other nodes of the service, ``None`` while the list was never read.
    """

    __slots__ = (
        'ticket',
        'context',
        'is_repeatable',
        'fingerprint',
        'deadline',
        'peers',
        'gone',
    )

    def __init__(
        self,
        *,
        ticket: str,
        context: CallContext,
        is_repeatable: bool,
        fingerprint: str,
        deadline: float,
        peers: tuple[HomeNode, ...] | None = None,
        gone: tuple[DepartedNode, ...] = (),
    ) -> None:
        """Take the call and what is known about it."""
        self.ticket = ticket
        self.context = context
        self.is_repeatable = is_repeatable
        self.fingerprint = fingerprint
        self.deadline = deadline
        self.peers = peers
        self.gone = gone


class CallEnded(Record):
    """A forwarded call left the target.

    ``is_complete`` says that the target answered, with whatever status, and
    ``was_shed`` that it refused the call for its own load.
    ``threshold_by_service`` is what its answer told of the services below.
    """

    __slots__ = (
        'ticket',
        'ending',
        'is_complete',
        'was_shed',
        'retry_after_ms',
        'threshold_by_service',
    )

    def __init__(
        self,
        *,
        ticket: str,
        ending: Ending,
        is_complete: bool,
        retry_after_ms: int = 0,
        was_shed: bool = False,
        threshold_by_service: dict[str, int] | None = None,
    ) -> None:
        """Take how the call ended."""
        self.ticket = ticket
        self.ending = ending
        self.is_complete = is_complete
        self.was_shed = was_shed
        self.retry_after_ms = retry_after_ms
        self.threshold_by_service = threshold_by_service or {}


class CallAbandoned(Record):
    """Nobody waits for an arrival: its caller left, or its time is over."""

    __slots__ = ('ticket', 'reason')

    def __init__(self, ticket: str, reason: RefusalReason) -> None:
        """Name the arrival and which of the two it is."""
        self.ticket = ticket
        self.reason = reason


class CallRedirected(Record):
    """A call that was sent to its home came back with an ending."""

    __slots__ = ('ticket', 'ending')

    def __init__(self, *, ticket: str, ending: Ending) -> None:
        """Take the ending at the home, or the doubt about it."""
        self.ticket = ticket
        self.ending = ending


class TimePassed(Record):
    """The timer turned."""

    __slots__ = ()


class LeaveBegun(Record):
    """The node begins a planned stop and takes no new calls."""

    __slots__ = ()


class TargetDown(Record):
    """The target went down with the calls that are in flight."""

    __slots__ = ()


class Forward(Record):
    """Send the call to the target now; report ``CallEnded``."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        """Name the arrival."""
        self.ticket = ticket


class CancelForward(Record):
    """Cancel a call that was sent to the target; report ``CallEnded``."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        """Name the arrival."""
        self.ticket = ticket


class Reply(Record):
    """Answer an arrival; each one gets exactly one reply.

    ``ran`` says that the call was forwarded for this arrival.
    """

    __slots__ = ('ticket', 'ending', 'retry_after_ms', 'ran')

    def __init__(
        self,
        *,
        ticket: str,
        ending: Ending,
        retry_after_ms: int = 0,
        ran: bool = False,
    ) -> None:
        """Take the ending and when to come back."""
        self.ticket = ticket
        self.ending = ending
        self.retry_after_ms = retry_after_ms
        self.ran = ran
