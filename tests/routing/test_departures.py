"""Which targets must get no more calls."""

from lovageshunt.routing import Departures


class TestDepartures:
    """News of leaving holds for an incarnation, removal until it is listed."""

    def test_a_leaving_incarnation_never_stays(self) -> None:
        """Neither a list nor a second word takes the news back."""
        departures = Departures()
        assert departures.note_leaving('a', 5)
        departures.note_removed('a')
        departures.note_listed('a')
        assert departures.is_leaving('a', 5)
        assert not departures.note_leaving('a', 5)

    def test_a_later_incarnation_is_not_leaving(self) -> None:
        """A target that started again under its id gets calls."""
        departures = Departures()
        departures.note_leaving('a', 5)
        assert not departures.is_leaving('a', 6)

    def test_late_news_of_an_earlier_incarnation_changes_nothing(self) -> None:
        """An earlier incarnation than the one that leaves is gone as well."""
        departures = Departures()
        departures.note_leaving('a', 5)
        assert not departures.note_leaving('a', 4)
        assert departures.is_leaving('a', 5)

    def test_a_removed_target_may_register_again(self) -> None:
        """Removal holds until the target is listed."""
        departures = Departures()
        departures.note_removed('a')
        assert departures.is_removed('a')
        departures.note_listed('a')
        assert not departures.is_removed('a')

    def test_remembers_a_bounded_number(self) -> None:
        """The oldest are forgotten first."""
        departures = Departures()
        for at in range(5000):
            departures.note_leaving(f'i-{at}', 1)
            departures.note_removed(f'i-{at}')
        assert not departures.is_leaving('i-0', 1)
        assert departures.is_leaving('i-4999', 1)
        assert not departures.is_removed('i-0')
