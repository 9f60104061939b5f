"""The events that admission handles and the actions that it returns."""

from typing import TypeAlias

from lovageshunt._record import Record
from lovageshunt.calls import RefusalReason


class Arrived(Record):
    """A call reached the node.

    ``call_id`` is unique among the calls present. ``deadline`` is in seconds
    on the node's own clock. ``queue_deadline`` is the time until which the
    call may wait for a slot; it defaults to ``deadline``.
    """

    __slots__ = ('call_id', 'level', 'deadline', 'queue_deadline')

    def __init__(
        self,
        *,
        call_id: str,
        level: int,
        deadline: float,
        queue_deadline: float | None = None,
    ) -> None:
        self.call_id = call_id
        self.level = level
        self.deadline = deadline
        self.queue_deadline = (
            deadline if queue_deadline is None else queue_deadline
        )


class _CallRecord(Record):
    __slots__ = ('call_id',)

    def __init__(self, call_id: str) -> None:
        self.call_id = call_id


class Finished(Record):
    """A dispatched call left its target, also after an abort.

    ``was_complete`` is false when no complete answer arrived, whatever the
    cause; the call's duration is then no valid sample. ``was_shed`` is true
    when the target itself refused the call because of its load, which lowers
    the limit.
    """

    __slots__ = ('call_id', 'was_complete', 'was_shed')

    def __init__(
        self,
        call_id: str,
        *,
        was_complete: bool,
        was_shed: bool = False,
    ) -> None:
        self.call_id = call_id
        self.was_complete = was_complete
        self.was_shed = was_shed


class Cancelled(_CallRecord):
    """The caller of a waiting or running call has disconnected."""

    __slots__ = ()


class AdmissionTicked(Record):
    """Time has passed; deadlines and the control window are checked."""

    __slots__ = ()


class LoadReported(Record):
    """The target's own load endpoint answered; the report lags.

    ``running`` counts the calls in the target, ``slots`` is its own number
    of slots. Either may be wrong. ``pace`` is how long work takes now, as a
    multiple of the usual, ``None`` if the target does not tell.
    """

    __slots__ = ('running', 'slots', 'pace')

    def __init__(
        self, *, running: int, slots: int, pace: float | None = None
    ) -> None:
        self.running = running
        self.slots = slots
        self.pace = pace


class RateLimitReported(Record):
    """The target answered, and named a limit of calls or none.

    ``per_second`` is the number of calls a second that it takes from all
    nodes together, ``None`` if it names no limit.
    """

    __slots__ = ('per_second',)

    def __init__(self, *, per_second: float | None) -> None:
        self.per_second = per_second


class DrainStarted(Record):
    """The target is shutting down."""

    __slots__ = ()


class TargetLeft(Record):
    """The target of some calls takes no more of them.

    Those of ``call_ids`` that still wait are refused; the others are for
    another target at the same address, or were dispatched.
    """

    __slots__ = ('call_ids',)

    def __init__(self, call_ids: frozenset[str]) -> None:
        self.call_ids = call_ids


class Admit(_CallRecord):
    """Send the call to the target now."""

    __slots__ = ()


class Refuse(Record):
    """Answer that the call was not run.

    ``retry_after_ms`` is the delay after which the caller may retry.
    """

    __slots__ = ('call_id', 'reason', 'retry_after_ms')

    def __init__(
        self,
        *,
        call_id: str,
        reason: RefusalReason,
        retry_after_ms: int,
    ) -> None:
        self.call_id = call_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Abort(_CallRecord):
    """Cancel the running call at its target.

    The call holds its slot until ``Finished`` reports that the target has
    released it.
    """

    __slots__ = ()


Event: TypeAlias = (
    Arrived
    | Finished
    | Cancelled
    | AdmissionTicked
    | LoadReported
    | RateLimitReported
    | DrainStarted
    | TargetLeft
)
Action: TypeAlias = Admit | Refuse | Abort
