"""Bounds what all connections of a process hold of what they received.

It protects against clients that send much and do not finish: each stays within
the limits of one request, and all together would exceed the memory.
"""

from collections import Counter
from typing import Final, Protocol

#: What all connections may hold by default, in bytes: more than the largest
#: request, and two fifths of the smallest machine.
DEFAULT_HELD_BYTES: Final = 80 * 1024 * 1024
#: The share of the limit by which small requests may exceed it, while nothing
#: else can be given up.
_SMALL_SHARE: Final = 0.25
#: A holder of no more than this is small, in bytes.
_SMALL_BYTES: Final = 64 * 1024


class Holder(Protocol):
    """A connection that holds what it has received, or not yet sent.

    ``last_progress_at`` is in seconds on the monotonic clock.
    """

    last_progress_at: float

    @property
    def can_be_given_up(self) -> bool:
        """Whether what it holds is of no use yet, or of no more use."""

    def give_up(self) -> None:
        """Release what is held; the other side may be told."""


class ReceiveBuffers:
    """Counts the bytes that connections hold, and who has to give up.

    ``limit_bytes`` bounds all together. ``held_bytes`` is what they hold now,
    ``refused_by_cause`` counts the connections that were given up or refused.
    """

    __slots__ = (
        'limit_bytes',
        'held_bytes',
        'refused_by_cause',
        '_bytes_by_holder',
    )

    def __init__(self, limit_bytes: int = DEFAULT_HELD_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused_by_cause: Counter[str] = Counter()
        self._bytes_by_holder: dict[Holder, int] = {}

    def hold(self, holder: Holder, count: int) -> None:
        """Count bytes that a holder has received.

        Above the limit those without progress for longest are given up, and
        this holder in the end.
        """
        self.held_bytes += count
        held = self._bytes_by_holder.get(holder, 0) + count
        self._bytes_by_holder[holder] = held
        if self.held_bytes > self.limit_bytes:
            self._make_room(holder)

    def release(self, holder: Holder, count: int) -> None:
        """Count bytes that a holder does not hold any more."""
        held = self._bytes_by_holder.get(holder, 0)
        released = min(count, held)
        self.held_bytes -= released
        if released < held:
            self._bytes_by_holder[holder] = held - released
        else:
            self._bytes_by_holder.pop(holder, None)

    def release_all(self, holder: Holder) -> None:
        """Count nothing for a holder any more."""
        self.held_bytes -= self._bytes_by_holder.pop(holder, 0)

    def _make_room(self, newest: Holder) -> None:
        while self.held_bytes > self.limit_bytes:
            victim = self._longest_stalled()
            if victim is None or self._may_exceed(newest, victim):
                return
            victim.give_up()
            self.release_all(victim)

    def _longest_stalled(self) -> Holder | None:
        """Return the holder without progress for longest, if there is one."""
        return min(
            (each for each in self._bytes_by_holder if each.can_be_given_up),
            key=lambda holder: holder.last_progress_at,
            default=None,
        )

    def _may_exceed(self, newest: Holder, victim: Holder) -> bool:
        """Return whether small holders are served all the same."""
        largest = max(
            self._bytes_by_holder[newest], self._bytes_by_holder[victim]
        )
        most = self.limit_bytes * (1 + _SMALL_SHARE)
        return largest <= _SMALL_BYTES and self.held_bytes <= most
