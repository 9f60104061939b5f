"""Distinguishing the calls of targets from the requests of clients."""

from lovageshunt.pressure import InternalCallDetector

#: Clients send looks everywhere; only the targets of ``a`` send peeks.
LOOKS = 20


def trained_detector(
    peeks_at_b: int = 0, reports: int = 3
) -> InternalCallDetector:
    detector = InternalCallDetector()
    for _ in range(reports):
        detector.learn('a', 'a1', {'look': LOOKS, 'peek': 400})
        detector.learn('a', 'a2', {'look': LOOKS, 'peek': 300})
        detector.learn('b', 'b1', {'look': LOOKS, 'peek': peeks_at_b})
    return detector


class TestInternalCallDetector:
    """Whether only targets send a kind."""

    def test_kind_that_only_targets_send_is_internal(self) -> None:
        """A kind that never reaches the nodes of one service is internal."""
        assert trained_detector().is_internal('peek')

    def test_kind_that_clients_send_is_not_internal(self) -> None:
        """A kind that reaches every service's nodes comes from clients."""
        assert not trained_detector().is_internal('look')
        assert not trained_detector(peeks_at_b=100).is_internal('peek')

    def test_needs_reports_from_two_services(self) -> None:
        """Without a report from a second service no kind is internal."""
        detector = InternalCallDetector()
        detector.learn('a', 'a1', {'look': 99, 'peek': 99})
        assert not detector.is_internal('peek')

    def test_is_not_misled_by_few_requests(self) -> None:
        """A kind that is rare everywhere is not taken for internal."""
        detector = trained_detector()
        detector.learn('a', 'a1', {'rare': 3})
        assert not detector.is_internal('rare')

    def test_follows_a_change(self) -> None:
        """A kind that clients begin to send is no longer internal."""
        detector = trained_detector()
        detector.learn('b', 'b1', {'look': LOOKS, 'peek': 400})
        assert not detector.is_internal('peek')
