"""Telling the calls of targets from the requests of clients."""

from lovageshunt.pressure import InternalCallDetector

#: Clients send looks everywhere; only the targets of ``a`` send peeks.
LOOKS = 20


def book(peeks_at_b: int = 0, reports: int = 3) -> InternalCallDetector:
    callers = InternalCallDetector()
    for _ in range(reports):
        callers.learn('a', 'a1', {'look': LOOKS, 'peek': 400})
        callers.learn('a', 'a2', {'look': LOOKS, 'peek': 300})
        callers.learn('b', 'b1', {'look': LOOKS, 'peek': peeks_at_b})
    return callers


class TestCallerBook:
    """Who sends a kind."""

    def test_knows_what_only_targets_send(self) -> None:
        """A kind that never reaches the nodes of one service is inner."""
        assert book().is_internal('peek')

    def test_knows_what_clients_send(self) -> None:
        """A kind that reaches every service's nodes is of clients."""
        assert not book().is_internal('look')
        assert not book(peeks_at_b=100).is_internal('peek')

    def test_takes_no_word_for_it_too_soon(self) -> None:
        """Without a word from a second service nothing is inner."""
        callers = InternalCallDetector()
        callers.learn('a', 'a1', {'look': 99, 'peek': 99})
        assert not callers.is_internal('peek')

    def test_is_not_misled_by_few_requests(self) -> None:
        """A kind that is rare everywhere is not taken for inner."""
        callers = book()
        callers.learn('a', 'a1', {'rare': 3})
        assert not callers.is_internal('rare')

    def test_follows_a_change(self) -> None:
        """A kind that clients begin to send is no longer inner."""
        callers = book()
        callers.learn('b', 'b1', {'look': LOOKS, 'peek': 400})
        assert not callers.is_internal('peek')
