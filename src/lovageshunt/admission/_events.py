"""What admission is told and what it asks for."""

from typing import TypeAlias

from lovageshunt._record import Record
from lovageshunt.calls import RefusalReason


class Arrived(Record):
    """A call reached the node; ``deadline`` is on the node's own clock.

    ``queue_deadline`` is how long it may wait for a slot, its deadline if that
    is not given.
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
        """Name the call; the id is unique among calls here."""
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
    """A dispatched call left its target; an aborted one too.

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
        """Say how the call ended."""
        self.call_id = call_id
        self.was_complete = was_complete
        self.was_shed = was_shed


class Cancelled(_CallRecord):
    """The caller of a waiting or running call is gone."""

    __slots__ = ()


class Ticked(Record):
    """Time has passed."""

    __slots__ = ()


class LoadReported(Record):
    """The target's own load endpoint answered; it lags and may mislead."""

    __slots__ = ('running', 'slots')

    def __init__(self, *, running: int, slots: int) -> None:
        """Take the calls that run in the target and its own slots."""
        self.running = running
        self.slots = slots


class DrainStarted(Record):
    """The target is leaving."""

    __slots__ = ()


class Dispatch(_CallRecord):
    """Send the call to the target now."""

    __slots__ = ()


class Refuse(Record):
    """Answer that the call was not run and when to come back."""

    __slots__ = ('call_id', 'reason', 'retry_after_ms')

    def __init__(
        self,
        *,
        call_id: str,
        reason: RefusalReason,
        retry_after_ms: int,
    ) -> None:
        """Name the call, the reason and the wait."""
        self.call_id = call_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Abort(_CallRecord):
    """Cancel the running call at its target.

    It holds its slot until ``Finished`` says that the target let go of it.
    """

    __slots__ = ()


Event: TypeAlias = (
    Arrived | Finished | Cancelled | Ticked | LoadReported | DrainStarted
)
Action: TypeAlias = Dispatch | Refuse | Abort
