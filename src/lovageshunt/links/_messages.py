"""The messages that nodes exchange on links."""

from lovageshunt._record import Record
from lovageshunt._sending import Buffer
from lovageshunt.calls import LoadReport, Outcome, RefusalReason


class RunOrder(Record):
    """A call that the receiving node runs at its local target.

    ``attempt_id`` is the id that the client assigned, ``target_id`` the only
    target that may run the call. ``kind`` names the route. ``importance`` is
    0 for calls that targets make, which are served first, and the route's
    importance plus one for requests of clients. ``deadline`` is in seconds
    on the clock of the node that holds the order; on the wire it is replaced
    by the remaining time. ``is_repeat`` is true if the request may have run
    before, or if the run that makes this call may be such a repeat.
    ``fields`` are complete header lines.
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
        body: Buffer,
    ) -> None:
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
    """The outcome of an order.

    ``status``, ``fields`` and ``body`` come from the target's response if the
    outcome is ``ANSWERED``, and are empty otherwise. ``retry_after_ms`` is
    the time until the target is expected to have spare capacity.
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
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.load = load
        self.status = status
        self.fields = fields
        self.body = body


class Greeting(Record):
    """The first message on a link, from each side.

    ``incarnation`` is different after each restart of a node's process.
    ``revision`` is that of its snapshot of the fleet and ``version`` that of
    its configuration; each is 0 while the node has none.
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
        self.revision = revision
        self.version = version
        self.node = node
        self.service = service
        self.incarnation = incarnation


class TargetLoadReport(Record):
    """A target's load, reported to every node several times a second.

    ``share`` is the share of its demand that the target has capacity for. Of
    ``sent_per_second`` calls it refuses ``refused_per_second`` although its
    node has a free slot for them.
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
        self.target_id = target_id
        self.load = load
        self.share = share
        self.sent_per_second = sent_per_second
        self.refused_per_second = refused_per_second


class LeavingNotice(Record):
    """A target said that it leaves; sent by the node beside it.

    ``started_ms`` is when its incarnation started, 0 if its node does not
    know.
    """

    __slots__ = ('target_id', 'started_ms')

    def __init__(self, *, target_id: str, started_ms: int) -> None:
        self.target_id = target_id
        self.started_ms = started_ms


class OutageNotice(Record):
    """A target takes no connections for now; sent by the node beside it.

    The notice holds for ``seconds``; 0 means that the target is back.
    """

    __slots__ = ('target_id', 'seconds')

    def __init__(self, *, target_id: str, seconds: float) -> None:
        self.target_id = target_id
        self.seconds = seconds


class DemandReport(Record):
    """The demand at one node, reported to every node periodically.

    ``seconds_by_kind`` is how long a run of each kind holds a slot, and
    ``calls_by_kind_by_kind`` the number of calls that it makes, by the kind
    that runs and then the kind that is called; both are empty in reports
    without new figures on runs. ``arrived_by_kind`` counts the requests of
    each kind that reached the node from its VM in the last ``seconds``.
    ``retries_by_service`` is the number of retries a second that the node may
    send to each service. ``revision`` and ``version`` are as in a greeting.
    ``asked_by_account`` are the requests a second of client accounts,
    ``admitted_by_account`` those of them within a limit; a node that
    ``has_accounts`` reports them, also if they are none.
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
        'asked_by_account',
        'admitted_by_account',
        'has_accounts',
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
        asked_by_account: dict[str, float] | None = None,
        admitted_by_account: dict[str, float] | None = None,
        has_accounts: bool = False,
    ) -> None:
        self.revision = revision
        self.version = version
        self.node = node
        self.service = service
        self.seconds = seconds
        self.arrived_by_kind = arrived_by_kind
        self.seconds_by_kind = seconds_by_kind
        self.calls_by_kind_by_kind = calls_by_kind_by_kind
        self.retries_by_service = retries_by_service
        self.asked_by_account = asked_by_account or {}
        self.admitted_by_account = admitted_by_account or {}
        self.has_accounts = has_accounts


class Subscription(Record):
    """Asks a coordinator for pulses; sent on the link to it.

    With ``wants_changes`` the sender also asks for what changes after its own
    ``position`` and ``version``, which are as in a greeting.
    """

    __slots__ = ('position', 'version', 'wants_changes')

    def __init__(
        self, *, position: int, version: int, wants_changes: bool
    ) -> None:
        self.position = position
        self.version = version
        self.wants_changes = wants_changes


class PlatformPulse(Record):
    """What a coordinator knows of the platform, sent to its subscribers.

    ``is_reader`` tells whether its last read succeeded, ``age_seconds`` how
    old the last answer is. ``position`` and ``version`` are as in a greeting.
    """

    __slots__ = ('position', 'version', 'age_seconds', 'is_reader')

    def __init__(
        self,
        *,
        position: int,
        version: int,
        age_seconds: float,
        is_reader: bool,
    ) -> None:
        self.position = position
        self.version = version
        self.age_seconds = age_seconds
        self.is_reader = is_reader
