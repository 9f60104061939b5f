"""The momentary pace of a target, as room that callers are told of."""

import pytest

from lovageshunt.admission import TargetPace
from lovageshunt.calls import LoadReport

LOAD = LoadReport(running=10, waiting=0, limit=40, service_ms=5)


class TestTargetPace:
    """Slots of a target that is slower or faster than usual."""

    @pytest.mark.parametrize(
        ('pace', 'slots'), [(1, 40), (2.5, 16), (0.5, 80), (1000, 4), (0, 400)]
    )
    def test_scales_the_slots(self, pace: float, slots: int) -> None:
        """At half the pace a slot is half a slot, within bounds."""
        target = TargetPace()
        target.record(pace, 5)
        assert target.scaled(LOAD, 5.1).limit == slots

    def test_is_of_no_use_when_it_is_old(self) -> None:
        """It may have changed several times since."""
        target = TargetPace()
        target.record(2.5, 5)
        assert target.scaled(LOAD, 6) == LOAD

    def test_leaves_a_target_that_tells_none(self) -> None:
        """Then a slot is a slot."""
        assert TargetPace().scaled(LOAD, 0) == LOAD

    def test_leaves_at_least_one_slot(self) -> None:
        """A report of no slots at all would count as none."""
        target = TargetPace()
        target.record(10, 5)
        small = LoadReport(running=0, waiting=0, limit=2, service_ms=5)
        assert target.scaled(small, 5).limit == 1
