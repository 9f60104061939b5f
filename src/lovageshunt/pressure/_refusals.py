"""Calls that a target refuses although its node has a free slot for them.

A refused call has not run and can be sent again, at the cost of a retry. A
request with many calls to such a service needs many retries there, and the
fleet's retry budget may not suffice for all requests.
"""

from typing import Final

from lovageshunt._record import Record

#: The length of a window, in seconds.
_WINDOW_SECONDS: Final = 0.25
#: Weight of a window in the rates, which thus follow a change within about
#: half a second.
_WEIGHT: Final = 0.4
#: Fewer calls a second than this do not predict the next one.
_MIN_CALLS_PER_SECOND: Final = 8
#: The accepted share is not taken to be lower than this, so that the number
#: of retries stays finite.
_MIN_ACCEPTED: Final = 0.05
#: A request with at least this probability of success without a retry is not
#: refused for a lack of retries.
_FAIR_CHANCE: Final = 0.25


class RefusalMeter:
    """Measures the calls sent to one target and those that it refused.

    ``sent_per_second`` and ``refused_per_second`` are smoothed over windows.
    """

    __slots__ = (
        'sent_per_second',
        'refused_per_second',
        '_sent',
        '_refused',
        '_window_start',
    )

    def __init__(self, now: float) -> None:
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
        """Count a call that ended at the target."""
        self._sent += 1
        self._refused += was_refused

    def advance(self, now: float) -> None:
        """Update the rates if the window is over."""
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


class RetryDemand(Record):
    """The retries that requests of one kind need at a service.

    A request needs ``calls`` calls to be accepted there, each of which is
    accepted with the probability ``accepted``.
    """

    __slots__ = ('calls', 'accepted')

    def __init__(self, *, calls: float, accepted: float) -> None:
        self.calls = calls
        self.accepted = max(_MIN_ACCEPTED, accepted)

    @property
    def depends_on_retries(self) -> bool:
        """Return whether a request is unlikely to succeed without retries."""
        chance = float(self.accepted**self.calls)
        return chance < _FAIR_CHANCE

    @property
    def retries(self) -> float:
        """Return the mean number of retries that one request needs."""
        return self.calls * (1 - self.accepted) / self.accepted


def accepted_share(sent_per_second: float, refused_per_second: float) -> float:
    """Return the share of calls that are accepted, 1 if few were sent."""
    if sent_per_second < _MIN_CALLS_PER_SECOND:
        return 1
    return 1 - refused_per_second / sent_per_second
