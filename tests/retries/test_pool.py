"""One hop's share of the allowance."""

from lovageshunt.retries import AllowancePool


class TestAllowancePool:
    """What is handed down, given back and spent."""

    def test_parallel_shares_are_divided(self):
        """The shares and what stays sum to the pool."""
        pool = AllowancePool(5)

        shares = pool.shares(3, leaves=[1])

        assert shares == [3, 0, 2]
        assert pool.unspent == 0

    def test_lost_share_is_spent(self):
        """What no answer gives back cannot be spent again."""
        pool = AllowancePool(2)
        pool.share()

        assert not pool.spend_retry()

    def test_answer_gives_back_no_more_than_its_share(self):
        """An answer that claims too much does not revive lost shares."""
        pool = AllowancePool(3)
        shares = pool.shares(2)

        pool.give_back(share=shares[1], unspent=9)

        assert pool.unspent == 1

    def test_call_that_calls_nobody_takes_nothing(self):
        """The hop above keeps its retries, also when the answer is lost."""
        pool = AllowancePool(1)

        assert pool.share(calls_below=False) == 0
        assert pool.spend_retry()
