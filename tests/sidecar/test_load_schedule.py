"""When the load of a target is reported."""

import pytest

from lovageshunt.sidecar._load_schedule import (
    LoadSchedule,
    ReportedLoad,
    interval_for,
)


def load(use: float) -> ReportedLoad:
    return ReportedLoad(use=use, share=1, accepted=1)


class TestLoadSchedule:
    """Changes are reported soon, the rest each second."""

    def test_change_is_reported_after_the_shortest_interval(self) -> None:
        """A load that has changed waits for the interval, and no longer."""
        schedule = LoadSchedule()
        assert schedule.take(load(0.5), 0, 0.2)
        assert not schedule.take(load(0.9), 0.1, 0.2)
        assert schedule.take(load(0.9), 0.2, 0.2)

    def test_unchanged_load_is_repeated_each_second(self) -> None:
        """Receivers drop a load that is older than one and a half seconds."""
        schedule = LoadSchedule()
        assert schedule.take(load(0.5), 0, 0.2)
        assert not schedule.take(load(0.52), 0.9, 0.2)
        assert schedule.take(load(0.52), 1.0, 0.2)


class TestIntervalFor:
    """The rate of the reports to all links together is bounded."""

    def test_few_links_are_told_at_once(self) -> None:
        """A small fleet is told ten times a second."""
        assert interval_for(3) == pytest.approx(0.1)

    def test_many_links_are_told_within_a_second(self) -> None:
        """A report arrives before the one before it has expired."""
        assert interval_for(2600) == pytest.approx(0.8)
