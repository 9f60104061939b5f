"""News waiting to be told to peers, within a budget of bytes."""

from typing import Final

from lovageshunt.membership._messages import (
    Announcement,
    VmListChange,
    wire_bytes,
)
from lovageshunt.membership._vms import VmState

#: What a message takes besides its items: request line, headers, framing.
ENVELOPE_BYTES: Final = 250
#: No more news than this waits; the exchange of digests finds the rest.
_MOST_WAITING: Final = 2048

_MS_PER_SECOND: Final = 1000

News = Announcement | VmListChange


class ByteBudget:
    """A token bucket of bytes, half of which is kept for departures."""

    __slots__ = ('_rate', '_burst', '_level', '_filled_at')

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Begin full; ``rate`` is in bytes a second."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def unreserved(self, now: float) -> float:
        """Return how many bytes may be sent now of what is no departure."""
        return self.left(now) - self._burst / 2

    def left(self, now: float) -> float:
        """Return how many bytes may be sent now of departures."""
        if now > self._filled_at:
            self._level = min(
                self._burst,
                self._level + (now - self._filled_at) * self._rate,
            )
            self._filled_at = now
        return self._level

    def spend(self, count: float) -> None:
        """Take bytes that were sent."""
        self._level -= count


class _Waiting:
    """News, its size in bytes and until when it is worth telling."""

    __slots__ = ('news', 'size', 'until')

    def __init__(self, news: News, until: float) -> None:
        self.news = news
        self.size = wire_bytes(news) + 1
        self.until = until


class Outbox:
    """News to be told, departures first and the rest in order.

    News older than ``lifetime`` seconds is dropped: by then it is either
    known, or found by the exchange of digests.
    """

    __slots__ = ('_lifetime', '_departures', '_others')

    def __init__(self, lifetime: float) -> None:
        """Hold nothing."""
        self._lifetime = lifetime
        self._departures: dict[str, _Waiting] = {}
        self._others: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        """Return how much news waits."""
        return len(self._departures) + len(self._others)

    def put(self, news: News, now: float) -> None:
        """Add news, in place of older news of the same VM."""
        self._departures.pop(news.name, None)
        self._others.pop(news.name, None)
        until = now - news.age_ms / _MS_PER_SECOND + self._lifetime
        waiting = self._departures if _is_departure(news) else self._others
        if until > now and len(waiting) < _MOST_WAITING:
            waiting[news.name] = _Waiting(news, until)

    def take(
        self,
        most_bytes: float,
        most_unreserved: float,
        now: float,
    ) -> list[News]:
        """Remove and return what fits, envelope included.

        Departures may take ``most_bytes``; with the rest, the whole takes at
        most ``most_unreserved``.
        """
        taken: list[News] = []
        size = ENVELOPE_BYTES
        for waiting, most in (
            (self._departures, most_bytes),
            (self._others, most_unreserved),
        ):
            for name, entry in tuple(waiting.items()):
                if now > entry.until:
                    waiting.pop(name)
                    continue
                if size + entry.size > most:
                    return taken
                size += entry.size
                taken.append(waiting.pop(name).news)
        return taken


def _is_departure(news: News) -> bool:
    if isinstance(news, Announcement):
        return news.is_leaving
    return news.state is not VmState.LIVE
