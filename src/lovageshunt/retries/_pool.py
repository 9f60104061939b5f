"""One hop's share of the allowance, divided over the calls below it."""

from typing import Final

#: A hop with more than this keeps one retry for an answer that is lost.
_HANDED_WHOLE: Final = 1


class AllowancePool:
    """The retries that one hop and everything below it may still spend.

    What is handed down is taken from the pool; only an answer brings back
    what it proves unspent, so a share whose answer is lost is spent.
    """

    __slots__ = ('_left',)

    def __init__(self, left: int) -> None:
        """Begin with the share that the call carried."""
        self._left = max(0, left)

    @property
    def unspent(self) -> int:
        """Return what this hop's own answer may give back."""
        return self._left

    def share(self) -> int:
        """Take the share of one sequential call from the pool.

        All but one is handed down, because the hop nearest to a failure
        retries it; the one kept serves when the share's answer is lost.
        """
        return self._take(self._handed_down())

    def shares(self, count: int) -> list[int]:
        """Take the shares of parallel calls, set before any of them starts."""
        if count <= 0:
            return []
        each, remainder = divmod(self._handed_down(), count)
        return [
            self._take(each + (index < remainder)) for index in range(count)
        ]

    def give_back(self, *, share: int, unspent: int) -> None:
        """Return what an answer proves unspent of its share."""
        self._left += min(max(0, unspent), share)

    def spend_retry(self) -> bool:
        """Spend one retry or hedge; return whether there was one."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def _handed_down(self) -> int:
        if self._left <= _HANDED_WHOLE:
            return self._left
        return self._left - 1

    def _take(self, count: int) -> int:
        self._left -= count
        return count
