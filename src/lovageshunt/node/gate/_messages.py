"""The events that the gate handles, and the actions it returns."""

from lovageshunt._record import Record
from lovageshunt.calls import CallContext, HomeNode, RefusalReason
from lovageshunt.idempotency import DepartedNode, Ending


class CallArrived(Record):
    """A call reached this node.

    ``ticket`` identifies this arrival; the call's id is shared by all of
    its attempts. ``deadline`` is a time on the node's clock, in seconds.
    ``fingerprint`` is equal for requests of equal content. ``peers`` are
    the present and ``gone`` the departed other nodes of the service;
    ``peers`` is ``None`` until the membership list was first read.
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
        self.ticket = ticket
        self.context = context
        self.is_repeatable = is_repeatable
        self.fingerprint = fingerprint
        self.deadline = deadline
        self.peers = peers
        self.gone = gone


class CallEnded(Record):
    """A forwarded call ended at the target.

    ``is_complete`` is true when the target answered, with any status;
    ``was_shed`` when it refused the call because of its own load.
    ``threshold_by_service`` holds the admission thresholds of downstream
    services that its answer reported.
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
        self.ticket = ticket
        self.ending = ending
        self.is_complete = is_complete
        self.was_shed = was_shed
        self.retry_after_ms = retry_after_ms
        self.threshold_by_service = threshold_by_service or {}


class CallAbandoned(Record):
    """A call lost its waiter: the caller disconnected or it timed out.

    ``reason`` is which of the two.
    """

    __slots__ = ('ticket', 'reason')

    def __init__(self, ticket: str, reason: RefusalReason) -> None:
        self.ticket = ticket
        self.reason = reason


class CallRedirected(Record):
    """A call that was redirected to its home node ended.

    ``ending`` is the outcome at the home, unknown if it did not answer.
    """

    __slots__ = ('ticket', 'ending')

    def __init__(self, *, ticket: str, ending: Ending) -> None:
        self.ticket = ticket
        self.ending = ending


class GateTicked(Record):
    """Periodic tick; due by ``Gate.next_wake``."""

    __slots__ = ()


class LeaveBegun(Record):
    """The node starts a planned stop and accepts no new calls."""

    __slots__ = ()


class TargetDown(Record):
    """The target crashed; the calls in flight are lost."""

    __slots__ = ()


class Forward(Record):
    """Send the call to the target now; ``CallEnded`` must follow."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


class CancelForward(Record):
    """Cancel a call that runs at the target; ``CallEnded`` must follow."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


class Reply(Record):
    """Answer a call; each arrival gets exactly one reply.

    ``ran`` is true when this arrival was forwarded to the target.
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
        self.ticket = ticket
        self.ending = ending
        self.retry_after_ms = retry_after_ms
        self.ran = ran
