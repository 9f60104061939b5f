"""Calls that targets refuse although there were free slots."""

import pytest

from lovageshunt.pressure import RefusalMeter
from lovageshunt.pressure._refusals import RetryDemand, accepted_share


def meter_after(sent: int, refused: int, windows: int) -> RefusalMeter:
    meter = RefusalMeter(0)
    for window in range(1, windows + 1):
        for at in range(sent):
            meter.ended(was_refused=at < refused)
        meter.advance(window * 0.25)
    return meter


class TestRefusalMeter:
    """The share of calls that a target accepts."""

    def test_follows_within_a_second(self) -> None:
        """After four windows the rates reflect most of a change."""
        meter = meter_after(sent=100, refused=60, windows=4)
        assert meter.sent_per_second > 0.85 * 400
        assert meter.accepted == pytest.approx(0.4)

    def test_ignores_a_few_calls(self) -> None:
        """Refusals at a low rate are no reason to refuse other calls."""
        assert meter_after(sent=1, refused=1, windows=8).accepted == 1

    def test_leaves_out_an_open_window(self) -> None:
        """A window counts only once it is over."""
        meter = RefusalMeter(0)
        meter.ended(was_refused=True)
        meter.advance(0.1)
        assert meter.sent_per_second == 0


class TestAcceptedShare:
    """The accepted share of a service."""

    def test_is_one_without_calls(self) -> None:
        """A service that gets no calls refuses none."""
        assert accepted_share(0, 0) == 1


class TestRetryDemand:
    """The retries that requests need where calls are refused."""

    def test_needs_a_retry_for_each_refusal(self) -> None:
        """At one in two, each of four calls is sent twice on average."""
        assert RetryDemand(calls=4, accepted=0.5).retries == pytest.approx(4)

    @pytest.mark.parametrize(
        ('calls', 'depends_on_retries'),
        [(0, False), (1, False), (2, False), (5, True)],
    )
    def test_has_a_fair_chance_with_few_calls(
        self,
        calls: float,
        *,
        depends_on_retries: bool,
    ) -> None:
        """A request of one or two calls can succeed without retries."""
        demand = RetryDemand(calls=calls, accepted=0.51)
        assert demand.depends_on_retries is depends_on_retries

    def test_is_finite_for_a_target_that_refuses_all(self) -> None:
        """Where nothing is accepted the retries are many, not infinite."""
        assert 10 < RetryDemand(calls=1, accepted=0).retries < 100
