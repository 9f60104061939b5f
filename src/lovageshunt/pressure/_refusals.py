"""Calls that a target refuses although its node has a slot for them.

A call that is refused has not run and can be sent again, for a retry. A
request whose calls are refused at one service needs so many retries there
that the fleet's budget may not suffice for all.
"""

from typing import Final

from lovageshunt._record import Record

#: The length of a window, in seconds.
_WINDOW_SECONDS: Final = 0.25
#: Weight of a window in the rates, which so follow a change in half a second.
_WEIGHT: Final = 0.4
#: Fewer calls a second than this say nothing of the next one.
_LEAST_PER_SECOND: Final = 8
#: The share of accepted calls below which nothing is worked out.
_LEAST_ACCEPTED: Final = 0.05
#: A request that has this chance to get through without a retry is let in.
_FAIR_CHANCE: Final = 0.25


class RefusalMeter:
    """Counts what one target was sent, and what it refused of that."""

    __slots__ = (
        'sent_per_second',
        'refused_per_second',
        '_sent',
        '_refused',
        '_window_start',
    )

    def __init__(self, now: float) -> None:
        """Begin with nothing sent."""
        self.sent_per_second = float(0)
        self.refused_per_second = float(0)
        self._sent = 0
        self._refused = 0
        self._window_start = now

    @property
    def accepted(self) -> float:
        """Return the share of the calls that the target accepts."""
        return accepted_share(self.sent_per_second, self.refused_per_second)

    def ended(self, *, was_refused: bool) -> None:
        """Count a call that has left the target."""
        self._sent += 1
        self._refused += was_refused

    def advance(self, now: float) -> None:
        """Close a window that is over."""
        seconds = now - self._window_start
        if seconds < _WINDOW_SECONDS:
            return
        change = self._sent / seconds - self.sent_per_second
        self.sent_per_second += _WEIGHT * change
        change = self._refused / seconds - self.refused_per_second
        self.refused_per_second += _WEIGHT * change
        self._sent = 0
        self._refused = 0
        self._window_start = now


class RetryNeeds(Record):
    """The retries that requests of one kind need at a service.

    Each needs ``calls`` calls to be accepted there, of which the share
    ``accepted`` is so at the first time.
    """

    __slots__ = ('calls', 'accepted')

    def __init__(self, *, calls: float, accepted: float) -> None:
        """Take both."""
        self.calls = calls
        self.accepted = max(_LEAST_ACCEPTED, accepted)

    @property
    def is_hopeless(self) -> bool:
        """Tell whether a request hardly gets through without retries."""
        chance = float(self.accepted**self.calls)
        return chance < _FAIR_CHANCE

    @property
    def retries(self) -> float:
        """Return the retries that one request needs in the mean."""
        return self.calls * (1 - self.accepted) / self.accepted


def accepted_share(sent_per_second: float, refused_per_second: float) -> float:
    """Return the share of calls that are accepted, 1 if few were sent."""
    if sent_per_second < _LEAST_PER_SECOND:
        return 1
    return 1 - refused_per_second / sent_per_second
