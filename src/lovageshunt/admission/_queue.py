"""The calls that wait for a slot, in the order of dispatch."""

from bisect import bisect_left, insort

from lovageshunt._record import Record


class WaitingCall(Record):
    """A call in the queue."""

    __slots__ = ('call_id', 'level', 'order', 'arrived_at', 'deadline')

    def __init__(
        self,
        *,
        call_id: str,
        level: int,
        order: int,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Take every field by name."""
        self.call_id = call_id
        self.level = level
        self.order = order
        self.arrived_at = arrived_at
        self.deadline = deadline

    @property
    def place(self) -> tuple[int, float, str]:
        """Sort by order, then by the nearest deadline."""
        return self.order, self.deadline, self.call_id


class WaitingQueue:
    """Waiting calls by order, then by deadline."""

    __slots__ = ('_by_call_id', '_places')

    def __init__(self) -> None:
        """Start empty."""
        self._by_call_id: dict[str, WaitingCall] = {}
        self._places: list[tuple[int, float, str]] = []

    def __len__(self) -> int:
        """Count the waiting calls."""
        return len(self._places)

    def __contains__(self, call_id: str) -> bool:
        """Tell whether a call waits."""
        return call_id in self._by_call_id

    def ahead_of(self, call: WaitingCall) -> int:
        """Count the calls that would be dispatched before this one."""
        return bisect_left(self._places, call.place)

    def add(self, call: WaitingCall) -> None:
        """Let a call wait."""
        self._by_call_id[call.call_id] = call
        insort(self._places, call.place)

    def remove(self, call_id: str) -> WaitingCall:
        """Take a call out."""
        call = self._by_call_id.pop(call_id)
        self._places.pop(bisect_left(self._places, call.place))
        return call

    def is_late(self, call_id: str, now: float) -> bool:
        """Tell whether a waiting call is past its deadline."""
        call = self._by_call_id.get(call_id)
        return call is not None and call.deadline <= now

    def first(self) -> WaitingCall:
        """Return the call to dispatch next."""
        return self._by_call_id[self._places[0][-1]]

    def last(self) -> WaitingCall:
        """Return the call to give up first."""
        return self._by_call_id[self._places[-1][-1]]

    def ordered(self) -> list[WaitingCall]:
        """Return the waiting calls in the order of dispatch."""
        return [self._by_call_id[place[-1]] for place in self._places]
