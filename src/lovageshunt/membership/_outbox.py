"""News waiting to be told to peers, within a budget of bytes."""

from typing import Final

from lovageshunt.membership._messages import Announcement, ListNews, wire_bytes
from lovageshunt.membership._vms import VmState

#: What a message takes besides its items: request line, headers, framing.
ENVELOPE_BYTES: Final = 250
#: No more news than this waits; the exchange of digests finds the rest.
_MOST_WAITING: Final = 2048

News = Announcement | ListNews


class ByteBudget:
    """A token bucket of bytes."""

    __slots__ = ('_rate', '_burst', '_level', '_filled_at')

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Begin full; ``rate`` is in bytes a second."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def left(self, now: float) -> float:
        """Return how many bytes may be sent now."""
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


class Outbox:
    """News to be told, departures first and the rest in order."""

    __slots__ = ('_departures', '_others')

    def __init__(self) -> None:
        """Hold nothing."""
        self._departures: dict[str, News] = {}
        self._others: dict[str, News] = {}

    def __len__(self) -> int:
        """Return how much news waits."""
        return len(self._departures) + len(self._others)

    def put(self, news: News) -> None:
        """Add news, in place of older news of the same VM."""
        self._departures.pop(news.name, None)
        self._others.pop(news.name, None)
        waiting = self._departures if _is_departure(news) else self._others
        if len(waiting) < _MOST_WAITING:
            waiting[news.name] = news

    def take(self, most_bytes: float) -> tuple[list[News], int]:
        """Remove and return what fits, and its size with the envelope."""
        taken: list[News] = []
        size = ENVELOPE_BYTES
        for waiting in (self._departures, self._others):
            for name, news in list(waiting.items()):
                grown = size + wire_bytes(news) + 1
                if grown > most_bytes:
                    return taken, size
                size = grown
                taken.append(waiting.pop(name))
        return taken, size


def _is_departure(news: News) -> bool:
    if isinstance(news, Announcement):
        return news.is_leaving
    return news.state is not VmState.LIVE
