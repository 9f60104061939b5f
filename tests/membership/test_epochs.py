"""A pause is noticed before the next decision."""

import pytest

from lovageshunt.errors import StalePictureError
from lovageshunt.membership import EpochClock


def new_clock() -> EpochClock:
    """Return a clock whose timer turns four times a second."""
    return EpochClock(0, tick_seconds=0.25, slack_seconds=0.75)


class TestEpochClock:
    """When an epoch ends."""

    def test_regular_turns(self) -> None:
        """Turns that come in time, or somewhat late, begin no epoch."""
        clock = new_clock()
        assert not any(clock.observe(turn * 0.9) for turn in range(20))

    def test_pause_before_the_next_decision(self) -> None:
        """A decision that comes before the next turn notices the pause."""
        clock = new_clock()
        clock.observe(0.25)
        assert clock.observe(5)
        assert clock.epoch == 1

    def test_pause_between_decision_and_dispatch(self) -> None:
        """A decision made before a pause is refused at dispatch."""
        clock = new_clock()
        picture = clock.stamp('a target')
        with pytest.raises(StalePictureError, match='decide anew'):
            clock.require(picture.epoch, 5)

    def test_dispatch_in_the_same_epoch(self) -> None:
        """A decision that is dispatched in time passes."""
        clock = new_clock()
        clock.require(clock.stamp('a target').epoch, 0.5)

    def test_clock_that_goes_back(self) -> None:
        """A clock that goes back neither begins an epoch nor hides one."""
        clock = new_clock()
        clock.observe(10)
        assert not clock.observe(3)
        assert not clock.observe(10.5)
