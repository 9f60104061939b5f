"""State of one call while it is in progress at this node."""

from asyncio import Future, Task, get_running_loop

from lovageshunt.client import InboundRequest
from lovageshunt.node.gate._messages import Reply
from lovageshunt.node.serving._http_boundary import ParsedCall
from lovageshunt.node.serving._target import TargetReply
from lovageshunt.observability import ActiveSpan


class CallInProgress:
    """A call from its arrival to its reply.

    ``arrived_at``, ``deadline`` and ``forwarded_at`` are monotonic times in
    seconds; ``forwarded_at`` is ``None`` until the call is sent to the target.
    """

    __slots__ = (
        'ticket',
        'inbound',
        'parsed',
        'span',
        'arrived_at',
        'deadline',
        'forwarded_at',
        'reply',
        'replied',
        'target_reply',
        'forward_task',
        'has_started',
        'is_cancelled',
    )

    def __init__(
        self,
        *,
        ticket: str,
        inbound: InboundRequest,
        parsed: ParsedCall,
        span: ActiveSpan,
        arrived_at: float,
        deadline: float,
    ) -> None:
        self.ticket = ticket
        self.inbound = inbound
        self.parsed = parsed
        self.span = span
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.forwarded_at: float | None = None
        self.reply: Reply | None = None
        #: Completed when ``reply`` is set; a waiter may cancel it.
        self.replied: Future[None] = get_running_loop().create_future()
        self.target_reply: TargetReply | None = None
        self.forward_task: Task[None] | None = None
        #: A task that is cancelled before it starts runs none of its code,
        #: so for one that has not started only ``is_cancelled`` is set.
        self.has_started = False
        self.is_cancelled = False
