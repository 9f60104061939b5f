"""One call while it is in progress at this node."""

from asyncio import Future, Task, get_running_loop

from lovageshunt.client import InboundRequest
from lovageshunt.node.gate._messages import Reply
from lovageshunt.node.serving._border import Admissible
from lovageshunt.node.serving._target import TargetReply
from lovageshunt.observability import ActiveSpan


class CallInProgress:
    """One arrival: what came, its deadline, and who waits for the reply."""

    __slots__ = (
        'ticket',
        'inbound',
        'admissible',
        'span',
        'arrived_at',
        'deadline',
        'forwarded_at',
        'reply',
        'replied',
        'target_reply',
        'forwarding',
        'has_begun',
        'is_cancelled',
    )

    def __init__(
        self,
        *,
        ticket: str,
        inbound: InboundRequest,
        admissible: Admissible,
        span: ActiveSpan,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Begin with nobody having replied."""
        self.ticket = ticket
        self.inbound = inbound
        self.admissible = admissible
        self.span = span
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.forwarded_at: float | None = None
        self.reply: Reply | None = None
        #: Set with the reply; the reply stays if a waiter cancels this.
        self.replied: Future[None] = get_running_loop().create_future()
        self.target_reply: TargetReply | None = None
        self.forwarding: Task[None] | None = None
        #: A task that is cancelled before its first turn runs none of its
        #: code, so one that has not begun is only told so.
        self.has_begun = False
        self.is_cancelled = False
