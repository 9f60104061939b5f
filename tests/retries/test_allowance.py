"""Dividing a root request's retry allowance among its attempts."""

from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.retries import allowance_for


class TestAllowanceFor:
    """The share of one attempt."""

    @given(bound=st.integers(0, 60))
    def test_shares_and_resends_sum_to_the_bound(self, bound):
        """All attempts together use no more retries than the bound."""
        shares = [allowance_for(bound, attempt) for attempt in range(1, 70)]
        allowed = [share for share in shares if share is not None]

        resends = len(allowed) - 1
        assert resends + sum(share.retries for share in allowed) <= bound

    @given(bound=st.integers(0, 60))
    def test_attempt_without_a_number_has_nothing_to_spend(self, bound):
        """Resends that cannot be distinguished get no retries."""
        share = allowance_for(bound, 0)

        assert share.retries == 0
        assert share.is_last

    def test_attempt_beyond_the_bound_is_refused(self):
        """A resend in excess of the bound gets no share."""
        assert allowance_for(3, 2) is not None
        assert allowance_for(3, 3) is None
