"""One hop's share of the retry allowance."""

from lovageshunt.retries import AllowancePool


class TestAllowancePool:
    """Retries that are passed to calls, returned and spent."""

    def test_parallel_shares_are_divided(self):
        """The shares and the rest add up to the pool; leaves get none."""
        pool = AllowancePool(5)

        shares = pool.shares(3, leaves=[1])

        assert shares == [3, 0, 2]
        assert pool.unspent == 0

    def test_lost_share_is_spent(self):
        """A share that no answer returns cannot be spent again."""
        pool = AllowancePool(2)
        pool.share()

        assert not pool.spend_retry()

    def test_answer_gives_back_no_more_than_its_share(self):
        """An answer that claims too much does not restore lost shares."""
        pool = AllowancePool(3)
        shares = pool.shares(2)

        pool.give_back(share=shares[1], unspent=9)

        assert pool.unspent == 1

    def test_call_to_a_leaf_service_gets_no_share(self):
        """The calling hop keeps its retries even if the answer is lost."""
        pool = AllowancePool(1)

        assert pool.share(calls_below=False) == 0
        assert pool.spend_retry()
