"""Measuring the demand on a target."""

from lovageshunt.pressure import DemandSettings, TargetDemandMeter

WINDOW = DemandSettings().window_seconds
SLOTS = 20
SECONDS = 0.05


def share_after(offered: float, windows: int) -> float:
    """Return the share after a simulated load.

    ``offered`` is the demand over the slots; the arrivals follow the share.
    """
    meter = TargetDemandMeter(DemandSettings(), 0)
    meter.ran('k', SECONDS)
    for window in range(1, windows + 1):
        rate = offered * meter.share * SLOTS / SECONDS
        for _ in range(int(rate * WINDOW)):
            meter.asked('k')
        meter.advance(window * WINDOW, slots=SLOTS, backlog_slot_seconds=0)
    return meter.share


class TestTargetDemandMeter:
    """The share of the demand that there is capacity for."""

    def test_share_is_one_below_capacity(self) -> None:
        """Below capacity the whole demand is admitted."""
        assert share_after(0.8, 40) == 1

    def test_finds_the_share_under_overload(self) -> None:
        """At twice the capacity half of the demand is admitted."""
        assert 0.45 < share_after(2, 60) < 0.55

    def test_finds_a_small_share(self) -> None:
        """Without a demand model at the first hop the share alone limits the
        load: at twenty times the capacity within ten seconds.
        """
        assert share_after(20, 40) < 0.07

    def test_recovers_after_an_overload(self) -> None:
        """The share is 1 again five seconds after the overload ended."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        meter.share = 0.3
        for window in range(1, int(5 / WINDOW) + 1):
            meter.advance(window * WINDOW, slots=SLOTS, backlog_slot_seconds=0)
        assert meter.share == 1

    def test_uses_failed_runs_until_there_are_good_ones(self) -> None:
        """A failed run's duration is used until a good run replaces it."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        meter.failed('k', 0.4)
        assert meter.seconds_by_kind == {'k': 0.4}
        meter.ran('k', 0.1)
        meter.failed('k', 9)
        assert meter.seconds_by_kind == {'k': 0.1}

    def test_counts_queued_calls(self) -> None:
        """A backlog lowers the share although nothing more arrives."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        for window in range(1, 4):
            meter.advance(
                window * WINDOW,
                slots=SLOTS,
                backlog_slot_seconds=SLOTS,
            )
        assert meter.share < 1

    def test_ignores_a_pause_of_the_process(self) -> None:
        """A window in which the process was paused leaves the share as is."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        meter.share = 0.5
        assert not meter.advance(10, slots=SLOTS, backlog_slot_seconds=0)
        assert meter.share == 0.5
