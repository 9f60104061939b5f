"""A pause of the process is detected before the next decision."""

import pytest

from lovageshunt.errors import StaleInputsError
from lovageshunt.membership import EpochClock


def new_clock() -> EpochClock:
    """Return a clock whose timer fires four times per second."""
    return EpochClock(0, tick_seconds=0.25, slack_seconds=0.75)


class TestEpochClock:
    """When a new epoch starts."""

    def test_regular_turns(self) -> None:
        """Ticks on time or slightly late start no epoch."""
        clock = new_clock()
        assert not any(clock.observe(tick * 0.9) for tick in range(20))

    def test_pause_before_the_next_decision(self) -> None:
        """A decision before the next tick detects the pause."""
        clock = new_clock()
        clock.observe(0.25)
        assert clock.observe(5)
        assert clock.epoch == 1

    def test_pause_between_decision_and_dispatch(self) -> None:
        """A decision made before a pause is rejected at dispatch."""
        clock = new_clock()
        stamped = clock.stamp('a target')
        with pytest.raises(StaleInputsError, match='decide anew'):
            clock.require(stamped.epoch, 5)

    def test_dispatch_in_the_same_epoch(self) -> None:
        """A decision dispatched in time is accepted."""
        clock = new_clock()
        clock.require(clock.stamp('a target').epoch, 0.5)

    def test_clock_that_goes_back(self) -> None:
        """A clock that goes back neither starts an epoch nor hides one."""
        clock = new_clock()
        clock.observe(10)
        assert not clock.observe(3)
        assert not clock.observe(10.5)
