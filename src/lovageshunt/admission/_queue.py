"""The calls that wait for a slot, in dispatch order."""

from bisect import bisect_left, insort

from lovageshunt._record import Record


class WaitingCall(Record):
    """A queued call.

    ``order`` is the first sort key of the queue, lowest first. ``arrived_at``
    and ``deadline`` are in seconds on the node's clock.
    """

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
        self.call_id = call_id
        self.level = level
        self.order = order
        self.arrived_at = arrived_at
        self.deadline = deadline

    @property
    def sort_key(self) -> tuple[int, float, str]:
        """Return order, deadline and call id; the id makes keys unique."""
        return self.order, self.deadline, self.call_id


class WaitingQueue:
    """Waiting calls sorted by order, then by deadline."""

    __slots__ = ('_by_call_id', '_sort_keys')

    def __init__(self) -> None:
        self._by_call_id: dict[str, WaitingCall] = {}
        self._sort_keys: list[tuple[int, float, str]] = []

    def __len__(self) -> int:
        return len(self._sort_keys)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._by_call_id

    def ahead_of(self, call: WaitingCall) -> int:
        """Return how many calls would be dispatched before this one."""
        return bisect_left(self._sort_keys, call.sort_key)

    def add(self, call: WaitingCall) -> None:
        """Insert a call at its place in the dispatch order."""
        self._by_call_id[call.call_id] = call
        insort(self._sort_keys, call.sort_key)

    def remove(self, call_id: str) -> WaitingCall:
        """Remove and return a call; raise ``KeyError`` if it is not queued."""
        call = self._by_call_id.pop(call_id)
        self._sort_keys.pop(bisect_left(self._sort_keys, call.sort_key))
        return call

    def is_overdue(self, call_id: str, now: float) -> bool:
        """Return whether a call is queued and past its deadline."""
        call = self._by_call_id.get(call_id)
        return call is not None and call.deadline <= now

    def first(self) -> WaitingCall:
        """Return the call to dispatch next."""
        return self._by_call_id[self._sort_keys[0][-1]]

    def last(self) -> WaitingCall:
        """Return the call to refuse first when the queue is full."""
        return self._by_call_id[self._sort_keys[-1][-1]]

    def ordered(self) -> list[WaitingCall]:
        """Return the waiting calls in dispatch order."""
        return [self._by_call_id[sort_key[-1]] for sort_key in self._sort_keys]
