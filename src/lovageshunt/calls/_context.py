"""The context that is passed with a call from hop to hop."""

from lovageshunt._record import Record
from lovageshunt.calls._importance import level_of


class HomeNode(Record):
    """The only node and incarnation that may run an at-most-once call."""

    __slots__ = ('node', 'incarnation')

    def __init__(self, *, node: str, incarnation: str) -> None:
        self.node = node
        self.incarnation = incarnation


class CallContext(Record):
    """The identity, priority, deadline and retry budget of a call.

    ``request_id`` identifies the root request and ``call_id`` this call of
    it; a retry keeps both and increments ``attempt``, which is 0 when the
    caller sent none. ``timeout_ms`` is the time left for the answer and
    ``age_ms`` the time since the root request began. Both are durations on
    the sender's clock, so that clocks need not be synchronised.
    ``retries_left`` is this call's share of the root's retry budget. ``home``
    is set for calls that must run at most once. ``suspicion`` counts the
    targets that failed while running the call.
    """

    __slots__ = (
        'request_id',
        'call_id',
        'caller',
        'kind',
        'importance',
        'rank',
        'timeout_ms',
        'age_ms',
        'attempt',
        'retries_left',
        'home',
        'suspicion',
        'trace_parent',
    )

    def __init__(
        self,
        *,
        request_id: str,
        call_id: str,
        importance: int,
        rank: int,
        timeout_ms: int,
        caller: str = '',
        kind: str = '',
        age_ms: int = 0,
        attempt: int = 1,
        retries_left: int = 0,
        home: HomeNode | None = None,
        suspicion: int = 0,
        trace_parent: str = '',
    ) -> None:
        self.request_id = request_id
        self.call_id = call_id
        self.caller = caller
        self.kind = kind
        self.importance = importance
        self.rank = rank
        self.timeout_ms = timeout_ms
        self.age_ms = age_ms
        self.attempt = attempt
        self.retries_left = retries_left
        self.home = home
        self.suspicion = suspicion
        self.trace_parent = trace_parent

    @property
    def level(self) -> int:
        """Return the priority level that admission compares to a threshold."""
        return level_of(self.importance, self.rank)
