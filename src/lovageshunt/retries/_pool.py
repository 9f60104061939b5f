"""One hop's share of the allowance, divided over the calls below it."""

from collections.abc import Collection


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

    def share(self, *, calls_below: bool = True) -> int:
        """Take the share of one sequential call from the pool.

        The whole pool is handed down, because the hop nearest to a failure
        retries it, and an answer brings back what was not needed. A service
        that calls no other has no use for a share: its callers keep theirs,
        also when its answer is lost.
        """
        if not calls_below:
            return 0
        return self._take(self._to_hand_down())

    def shares(
        self,
        count: int,
        *,
        leaves: Collection[int] = (),
    ) -> list[int]:
        """Take the shares of parallel calls, set before any of them starts.

        ``leaves`` are the places of calls to services that call no other.
        """
        takers = [at for at in range(count) if at not in leaves]
        shares = [0 for _ in range(count)]
        if not takers:
            return shares
        each, remainder = divmod(self._to_hand_down(), len(takers))
        for order, place in enumerate(takers):
            shares[place] = self._take(each + int(order < remainder))
        return shares

    def give_back(self, *, share: int, unspent: int) -> None:
        """Return what an answer proves unspent of its share."""
        self._left += min(max(0, unspent), share)

    def spend_retry(self) -> bool:
        """Spend one retry or hedge; return whether there was one."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def _to_hand_down(self) -> int:
        return self._left

    def _take(self, count: int) -> int:
        self._left -= count
        return count
