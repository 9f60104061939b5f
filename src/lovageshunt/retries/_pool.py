"""Divides one hop's share of the retry allowance among its calls."""

from collections.abc import Collection


class AllowancePool:
    """The retries that one hop and all hops below it may still spend.

    A share that is passed to a call is deducted from the pool. Only an answer
    returns what is unspent of it, so a share whose answer is lost is spent.
    """

    __slots__ = ('_left',)

    def __init__(self, left: int) -> None:
        """Start with the share that the call carried; none if negative."""
        self._left = max(0, left)

    @property
    def unspent(self) -> int:
        """Return the retries that this hop's own answer gives back."""
        return self._left

    def share(self, *, calls_below: bool = True) -> int:
        """Deduct and return the share of one sequential call.

        It is the whole pool, because the hop nearest to a failure retries it,
        and an answer returns what was not needed. A service that calls no
        other gets no share: it has no use for one, and the pool keeps the
        retries even if its answer is lost.
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
        """Deduct and return the shares of ``count`` parallel calls.

        They are fixed before any of the calls starts. ``leaves`` are the
        indexes of calls to services that call no other; these get none.
        """
        receivers = [at for at in range(count) if at not in leaves]
        shares = [0 for _ in range(count)]
        if not receivers:
            return shares
        each, remainder = divmod(self._to_hand_down(), len(receivers))
        for order, index in enumerate(receivers):
            shares[index] = self._take(each + int(order < remainder))
        return shares

    def give_back(self, *, share: int, unspent: int) -> None:
        """Return to the pool what an answer reports unspent of its share.

        No more than the share is returned, whatever the answer claims.
        """
        self._left += min(max(0, unspent), share)

    def spend_retry(self) -> bool:
        """Spend one retry or hedge; return whether one was available."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def _to_hand_down(self) -> int:
        return self._left

    def _take(self, count: int) -> int:
        self._left -= count
        return count
