"""Measuring what is asked of a target."""

from lovageshunt.pressure import DemandSettings, TargetDemandMeter

WINDOW = DemandSettings().window_seconds
SLOTS = 20
SECONDS = 0.05


def share_after(offered: float, windows: int) -> float:
    """Play a demand of so many times the slots that follows the share."""
    meter = TargetDemandMeter(DemandSettings(), 0)
    meter.ran('k', SECONDS)
    for window in range(1, windows + 1):
        rate = offered * meter.share * SLOTS / SECONDS
        for _ in range(int(rate * WINDOW)):
            meter.asked('k')
        meter.advance(window * WINDOW, slots=SLOTS, backlog_slot_seconds=0)
    return meter.share


class TestDemandMeter:
    """The share that there is room for."""

    def test_keeps_everything_below_capacity(self) -> None:
        """Nothing is held back while there is room."""
        assert share_after(0.8, 40) == 1

    def test_finds_the_share_under_overload(self) -> None:
        """At twice the capacity half of the demand is let in."""
        assert 0.45 < share_after(2, 60) < 0.55

    def test_finds_a_small_share(self) -> None:
        """A first hop that knows nothing of the needs is corrected in full:
        at twenty times the capacity within ten seconds.
        """
        assert share_after(20, 40) < 0.07

    def test_returns_when_the_load_is_gone(self) -> None:
        """Within five seconds of its end an overload is forgotten."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        meter.share = 0.3
        for window in range(1, int(5 / WINDOW) + 1):
            meter.advance(window * WINDOW, slots=SLOTS, backlog_slot_seconds=0)
        assert meter.share == 1

    def test_takes_failed_runs_until_there_are_good_ones(self) -> None:
        """The time of a failed run is better than none, and gives way."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        meter.failed('k', 0.4)
        assert meter.seconds_by_kind == {'k': 0.4}
        meter.ran('k', 0.1)
        meter.failed('k', 9)
        assert meter.seconds_by_kind == {'k': 0.1}

    def test_counts_what_waits(self) -> None:
        """A queue lowers the share though nothing more arrives."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        for window in range(1, 4):
            meter.advance(
                window * WINDOW,
                slots=SLOTS,
                backlog_slot_seconds=SLOTS,
            )
        assert meter.share < 1

    def test_learns_nothing_from_a_pause(self) -> None:
        """A window in which the process stood still moves nothing."""
        meter = TargetDemandMeter(DemandSettings(), 0)
        meter.share = 0.5
        assert not meter.advance(10, slots=SLOTS, backlog_slot_seconds=0)
        assert meter.share == 0.5
