"""Recognises requests that come back after a refusal, as they were told."""

from collections import OrderedDict
from typing import Final

#: The largest number of refusals that are remembered.
_MAX_REFUSALS: Final = 4096
#: How long after the time that it was told a request is still expected, in
#: seconds.
_GRACE_SECONDS: Final = 3.0
#: How much earlier a request may come, in seconds: clocks and timers differ.
_EARLY_SECONDS: Final = 0.05
#: Weight of one request in the part that returns.
_WEIGHT: Final = 0.05


class Returns:
    """Remembers what was refused, by content, and when it may return."""

    __slots__ = ('_due_by_content',)

    def __init__(self) -> None:
        self._due_by_content: OrderedDict[str, float] = OrderedDict()

    def note_refused(self, content: str, due: float) -> None:
        """Expect a request again from ``due`` on, in seconds on the clock.

        Nothing is expected without a content.
        """
        if not content:
            return
        self._due_by_content[content] = due
        self._due_by_content.move_to_end(content)
        if len(self._due_by_content) > _MAX_REFUSALS:
            self._due_by_content.popitem(last=False)

    def take(self, content: str, now: float) -> bool:
        """Return whether a request comes back as told; expect it no more."""
        due = self._due_by_content.get(content)
        if due is None or now < due - _EARLY_SECONDS:
            return False
        self._due_by_content.pop(content)
        return now <= due + _GRACE_SECONDS


class ReturnPart:
    """The part of a node's requests that return, as a moving mean."""

    __slots__ = ('part',)

    def __init__(self) -> None:
        self.part = float(0)

    def count(self, *, is_return: bool) -> None:
        """Count a request."""
        self.part += _WEIGHT * (is_return - self.part)

    def share_of(self, share: float, *, is_return: bool) -> float:
        """Return the share of returns, or of new requests, that is admitted.

        ``share`` is that of all of them; what returns goes first.
        """
        part = self.part
        if is_return:
            return min(1, share / part) if part > 0 else 1
        if part >= 1:
            return share
        return max(0, share - part) / (1 - part)
