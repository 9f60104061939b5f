"""Calls that targets refuse although there were slots."""

import pytest

from lovageshunt.pressure import RefusalMeter
from lovageshunt.pressure._refusals import RetryNeeds, accepted_share


def meter_after(sent: int, refused: int, windows: int) -> RefusalMeter:
    meter = RefusalMeter(0)
    for window in range(1, windows + 1):
        for at in range(sent):
            meter.ended(was_refused=at < refused)
        meter.advance(window * 0.25)
    return meter


class TestRefusalMeter:
    """What a target accepts."""

    def test_follows_within_a_second(self) -> None:
        """After four windows most of a change is known."""
        meter = meter_after(sent=100, refused=60, windows=4)
        assert meter.sent_per_second > 0.85 * 400
        assert meter.accepted == pytest.approx(0.4)

    def test_says_nothing_of_a_few_calls(self) -> None:
        """Two refusals of a quiet target are no ground to refuse others."""
        assert meter_after(sent=1, refused=1, windows=8).accepted == 1

    def test_keeps_an_open_window(self) -> None:
        """A window counts once it is over."""
        meter = RefusalMeter(0)
        meter.ended(was_refused=True)
        meter.advance(0.1)
        assert meter.sent_per_second == 0


class TestAcceptedShare:
    """The share of a service, from what its targets told."""

    def test_is_one_without_calls(self) -> None:
        """A service that gets no calls refuses none."""
        assert accepted_share(0, 0) == 1


class TestRetryNeeds:
    """What requests need where calls are refused."""

    def test_needs_a_retry_for_each_refusal(self) -> None:
        """At one in two, each of four calls is sent twice in the mean."""
        assert RetryNeeds(calls=4, accepted=0.5).retries == pytest.approx(4)

    @pytest.mark.parametrize(
        ('calls', 'is_hopeless'),
        [(0, False), (1, False), (2, False), (5, True)],
    )
    def test_has_a_fair_chance_with_few_calls(
        self,
        calls: float,
        *,
        is_hopeless: bool,
    ) -> None:
        """A request of one or two calls gets through without retries."""
        needs = RetryNeeds(calls=calls, accepted=0.51)
        assert needs.is_hopeless is is_hopeless

    def test_ends_for_a_target_that_refuses_all(self) -> None:
        """Where nothing is accepted the needs are large, not endless."""
        assert 10 < RetryNeeds(calls=1, accepted=0).retries < 100
