"""Updates queued for peers, and the byte budget for sending them."""

from typing import Final

from lovageshunt.membership._messages import (
    Announcement,
    VmListChange,
    wire_bytes,
)
from lovageshunt.membership._vms import VmState

#: Overhead of a message besides its items: request line, headers, framing.
ENVELOPE_BYTES: Final = 250
#: Updates beyond this are not queued; the exchange of digests finds them.
_MAX_QUEUED: Final = 2048

_MS_PER_SECOND: Final = 1000

GossipItem = Announcement | VmListChange


class ByteBudget:
    """A token bucket of bytes; half of the burst is reserved for departures."""

    __slots__ = (
        '_bytes_per_second',
        '_burst_bytes',
        '_available_bytes',
        '_refilled_at',
    )

    def __init__(
        self, bytes_per_second: float, burst_bytes: float, now: float
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._refilled_at = now

    def unreserved(self, now: float) -> float:
        """Return how many bytes may be sent now for anything but departures."""
        return self.available(now) - self._burst_bytes / 2

    def available(self, now: float) -> float:
        """Return how many bytes may be sent now for departures."""
        if now > self._refilled_at:
            self._available_bytes = min(
                self._burst_bytes,
                self._available_bytes
                + (now - self._refilled_at) * self._bytes_per_second,
            )
            self._refilled_at = now
        return self._available_bytes

    def spend(self, count: float) -> None:
        """Deduct sent bytes; the balance may become negative."""
        self._available_bytes -= count


class _QueuedItem:
    """An update, its size in bytes and the time at which it expires."""

    __slots__ = ('item', 'size_bytes', 'expires_at')

    def __init__(self, item: GossipItem, expires_at: float) -> None:
        self.item = item
        self.size_bytes = wire_bytes(item) + 1
        self.expires_at = expires_at


class GossipQueue:
    """Updates to send to peers: departures first, the rest in order.

    Updates older than ``lifetime_seconds`` are dropped: by then the peers
    have them, or find them through the exchange of digests.
    """

    __slots__ = ('_lifetime_seconds', '_departures', '_others')

    def __init__(self, lifetime_seconds: float) -> None:
        self._lifetime_seconds = lifetime_seconds
        self._departures: dict[str, _QueuedItem] = {}
        self._others: dict[str, _QueuedItem] = {}

    def __len__(self) -> int:
        return len(self._departures) + len(self._others)

    def put(self, item: GossipItem, now: float) -> None:
        """Add an update; it replaces an earlier one about the same VM."""
        self._departures.pop(item.name, None)
        self._others.pop(item.name, None)
        expires_at = now - item.age_ms / _MS_PER_SECOND + self._lifetime_seconds
        queued = self._departures if _is_departure(item) else self._others
        if expires_at > now and len(queued) < _MAX_QUEUED:
            queued[item.name] = _QueuedItem(item, expires_at)

    def pop_fitting(
        self,
        max_bytes: float,
        max_unreserved_bytes: float,
        now: float,
    ) -> list[GossipItem]:
        """Remove and return the updates that fit, envelope included.

        Departures may use up to ``max_bytes``; other updates are added while
        the total stays within ``max_unreserved_bytes``.
        """
        popped: list[GossipItem] = []
        used_bytes = ENVELOPE_BYTES
        for queued, limit_bytes in (
            (self._departures, max_bytes),
            (self._others, max_unreserved_bytes),
        ):
            for name, entry in tuple(queued.items()):
                if now > entry.expires_at:
                    queued.pop(name)
                    continue
                if used_bytes + entry.size_bytes > limit_bytes:
                    return popped
                used_bytes += entry.size_bytes
                popped.append(queued.pop(name).item)
        return popped


def _is_departure(item: GossipItem) -> bool:
    if isinstance(item, Announcement):
        return item.is_leaving
    return item.state is not VmState.LIVE
