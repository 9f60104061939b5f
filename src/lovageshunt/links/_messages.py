"""What nodes tell one another."""

from lovageshunt._record import Record
from lovageshunt.calls import LoadReport, Outcome, RefusalReason


class RunOrder(Record):
    """A call to be run at the target beside the other node.

    ``attempt_id`` is the id that the client gave it, ``target_id`` the only
    target that may run it. ``kind`` names the route. ``importance`` is 0 for
    calls that targets make, which go first, and one more than the route's
    for requests of clients. ``deadline`` is in seconds on the clock of the
    node that holds the order; on the wire stands the time that is left.
    ``is_repeat`` tells that the request may have run before, or that the run
    which makes this call is such a one. ``fields`` are whole header lines.
    """

    __slots__ = (
        'attempt_id',
        'target_id',
        'kind',
        'caller_service',
        'importance',
        'is_repeatable',
        'is_repeat',
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
        is_repeat: bool,
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
        self.is_repeat = is_repeat
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

    ``incarnation`` differs between two lives of a node's process,
    ``revision`` and ``version`` tell how new its picture of the fleet and its
    configuration are; both are 0 without one.
    """

    __slots__ = ('node', 'service', 'incarnation', 'revision', 'version')

    def __init__(
        self,
        *,
        node: str,
        service: str,
        incarnation: str,
        revision: int = 0,
        version: int = 0,
    ) -> None:
        """Take every field by name."""
        self.revision = revision
        self.version = version
        self.node = node
        self.service = service
        self.incarnation = incarnation


class TargetLoadReport(Record):
    """A target's load, told to every node several times a second.

    ``share`` is the share of its demand that the target has room for. Of
    ``sent_per_second`` calls it refuses ``refused_per_second`` although its
    node has a slot for them.
    """

    __slots__ = (
        'target_id',
        'load',
        'share',
        'sent_per_second',
        'refused_per_second',
    )

    def __init__(
        self,
        *,
        target_id: str,
        load: LoadReport,
        share: float,
        sent_per_second: float,
        refused_per_second: float,
    ) -> None:
        """Take every field by name."""
        self.target_id = target_id
        self.load = load
        self.share = share
        self.sent_per_second = sent_per_second
        self.refused_per_second = refused_per_second


class DemandReport(Record):
    """What runs at one target take, told to every node now and then.

    ``seconds_by_kind`` is how long a run of each kind holds a slot,
    ``calls_by_kind_by_kind`` the calls that it makes, by the kind that runs
    and then the kind that is called. ``arrived_by_kind`` counts the requests
    of each kind that reached the node from its VM in the last ``seconds``.
    A node that has nothing new to say of its runs leaves both others empty.
    ``retries_by_service`` is how many calls a second to each service the node
    may send again.
    ``revision`` and ``version`` are those of a greeting.
    """

    __slots__ = (
        'node',
        'service',
        'seconds',
        'arrived_by_kind',
        'seconds_by_kind',
        'calls_by_kind_by_kind',
        'retries_by_service',
        'revision',
        'version',
    )

    def __init__(
        self,
        *,
        node: str,
        service: str,
        seconds: float,
        arrived_by_kind: dict[str, int],
        seconds_by_kind: dict[str, float],
        calls_by_kind_by_kind: dict[str, dict[str, float]],
        retries_by_service: dict[str, float],
        revision: int,
        version: int,
    ) -> None:
        """Take every field by name."""
        self.revision = revision
        self.version = version
        self.node = node
        self.service = service
        self.seconds = seconds
        self.arrived_by_kind = arrived_by_kind
        self.seconds_by_kind = seconds_by_kind
        self.calls_by_kind_by_kind = calls_by_kind_by_kind
        self.retries_by_service = retries_by_service
