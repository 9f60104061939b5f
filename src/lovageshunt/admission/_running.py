"""The calls that run in the target."""

from lovageshunt._record import Record
from lovageshunt.admission._events import Abort


class RunningCall(Record):
    """A call that was dispatched and has not finished."""

    __slots__ = ('started_at', 'deadline', 'is_aborted')

    def __init__(self, *, started_at: float, deadline: float) -> None:
        """Take the time of dispatch and the time by which it must end."""
        self.started_at = started_at
        self.deadline = deadline
        self.is_aborted = False


class RunningCalls:
    """Calls that hold a slot, aborted ones included."""

    __slots__ = ('_by_call_id',)

    def __init__(self) -> None:
        """Start empty."""
        self._by_call_id: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        """Count the slots held."""
        return len(self._by_call_id)

    def __contains__(self, call_id: str) -> bool:
        """Tell whether a call holds a slot."""
        return call_id in self._by_call_id

    def start(self, call_id: str, *, now: float, deadline: float) -> None:
        """Take a slot."""
        self._by_call_id[call_id] = RunningCall(
            started_at=now,
            deadline=deadline,
        )

    def is_late(self, call_id: str, now: float) -> bool:
        """Tell whether a running call is past its deadline."""
        call = self._by_call_id.get(call_id)
        return call is not None and call.deadline <= now

    def finish(self, call_id: str) -> RunningCall | None:
        """Give the slot back; nothing if the call holds none."""
        return self._by_call_id.pop(call_id, None)

    def abort(self, call_id: str) -> list[Abort]:
        """Mark a call as aborted; the slot stays held. Once only."""
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
