"""What nodes tell one another."""

from lovageshunt._record import Record
from lovageshunt.calls import LoadReport, Outcome, RefusalReason


class RunOrder(Record):
    """A call to be run at the target beside the other node.

    ``attempt_id`` is the id that the client gave it, ``target_id`` the only
    target that may run it. ``kind`` names the route. ``deadline`` is in
    seconds on the clock of the node that holds the order; on the wire stands
    the time that is left. ``fields`` are whole header lines.
    """

    __slots__ = (
        'attempt_id',
        'target_id',
        'kind',
        'caller_service',
        'importance',
        'is_repeatable',
        'deadline',
        'method',
        'request_target',
        'fields',
        'body',
    )

    def __init__(
        self,
        *,
        attempt_id: bytes,
        target_id: str,
        kind: str,
        caller_service: str,
        importance: int,
        is_repeatable: bool,
        deadline: float,
        method: bytes,
        request_target: bytes,
        fields: bytes,
        body: bytes,
    ) -> None:
        """Take every field by name."""
        self.attempt_id = attempt_id
        self.target_id = target_id
        self.kind = kind
        self.caller_service = caller_service
        self.importance = importance
        self.is_repeatable = is_repeatable
        self.deadline = deadline
        self.method = method
        self.request_target = request_target
        self.fields = fields
        self.body = body


class RunAnswer(Record):
    """What became of an order.

    ``status``, ``fields`` and ``body`` are the target's own when the outcome
    is ``ANSWERED``, and empty otherwise. ``retry_after_ms`` says when the
    target is expected to have room.
    """

    __slots__ = (
        'outcome',
        'reason',
        'retry_after_ms',
        'load',
        'status',
        'fields',
        'body',
    )

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        retry_after_ms: int = 0,
        load: LoadReport | None = None,
        status: int = 0,
        fields: bytes = b'',
        body: bytes = b'',
    ) -> None:
        """Take every field by name."""
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.load = load
        self.status = status
        self.fields = fields
        self.body = body


class Greeting(Record):
    """The first message on a link, from each side.

    ``incarnation`` differs between two lives of a node's process.
    """

    __slots__ = ('node', 'service', 'incarnation')

    def __init__(self, *, node: str, service: str, incarnation: str) -> None:
        """Take every field by name."""
        self.node = node
        self.service = service
        self.incarnation = incarnation


class Advice(Record):
    """What a node tells those who send it calls, from time to time.

    ``is_leaving`` asks to be avoided. ``share_by_service`` tells which share
    of their demand the services at and below the node have room for,
    ``work_by_service_by_kind`` the slot-seconds that one call of a kind takes
    at each of them.
    """

    __slots__ = (
        'is_leaving',
        'share_by_service',
        'work_by_service_by_kind',
        'version',
    )

    def __init__(
        self,
        *,
        is_leaving: bool,
        share_by_service: dict[str, float],
        work_by_service_by_kind: dict[str, dict[str, float]],
        version: int,
    ) -> None:
        """Take every field by name; ``version`` is the configuration's."""
        self.is_leaving = is_leaving
        self.share_by_service = share_by_service
        self.work_by_service_by_kind = work_by_service_by_kind
        self.version = version
