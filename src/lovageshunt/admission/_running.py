"""The calls that run in the target."""

from lovageshunt._record import Record
from lovageshunt.admission._events import Abort


class RunningCall(Record):
    """A call that was dispatched and has not finished.

    ``started_at``, the time of dispatch, and ``deadline`` are in seconds on
    the node's clock.
    """

    __slots__ = ('started_at', 'deadline', 'is_aborted')

    def __init__(self, *, started_at: float, deadline: float) -> None:
        self.started_at = started_at
        self.deadline = deadline
        self.is_aborted = False


class RunningCalls:
    """Calls that hold a slot, aborted ones included."""

    __slots__ = ('_by_call_id',)

    def __init__(self) -> None:
        self._by_call_id: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        return len(self._by_call_id)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._by_call_id

    def start(self, call_id: str, *, now: float, deadline: float) -> None:
        """Allocate a slot to a call that is dispatched now."""
        self._by_call_id[call_id] = RunningCall(
            started_at=now,
            deadline=deadline,
        )

    def is_overdue(self, call_id: str, now: float) -> bool:
        """Return whether a call is running and past its deadline."""
        call = self._by_call_id.get(call_id)
        return call is not None and call.deadline <= now

    def finish(self, call_id: str) -> RunningCall | None:
        """Release the call's slot; return ``None`` if it holds none."""
        return self._by_call_id.pop(call_id, None)

    def abort(self, call_id: str) -> list[Abort]:
        """Mark a call as aborted; it keeps its slot until it finishes.

        Returns no action if the call does not run or was aborted before.
        """
        call = self._by_call_id.get(call_id)
        if call is None or call.is_aborted:
            return []
        call.is_aborted = True
        return [Abort(call_id)]

    def abort_all(self) -> list[Abort]:
        """Abort every running call that was not yet aborted."""
        return [
            abort
            for call_id in self._by_call_id
            for abort in self.abort(call_id)
        ]
