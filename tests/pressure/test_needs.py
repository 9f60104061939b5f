"""Adding up what a request needs at every service."""

import pytest

from lovageshunt.pressure import DemandModel, KindDemand


def book() -> DemandModel:
    needs = DemandModel()
    needs.learn(
        'check',
        KindDemand(
            node='n', service='a', seconds=0.2, calls_by_kind={'peek': 2}
        ),
    )
    needs.learn(
        'peek',
        KindDemand(
            node='n', service='b', seconds=0.1, calls_by_kind={'sync': 4}
        ),
    )
    needs.learn(
        'sync',
        KindDemand(node='n', service='c', seconds=0.015, calls_by_kind={}),
    )
    return needs


class TestNeedsBook:
    """Slot-seconds by service."""

    def test_follows_the_calls(self) -> None:
        """Work below is counted as often as it is called for."""
        work = book().work_of('check')
        assert work == pytest.approx({'a': 0.2, 'b': 0.2, 'c': 0.12})

    def test_counts_the_runs(self) -> None:
        """Runs below are counted as often as they are called for."""
        runs = book().runs_of('check')
        assert runs == pytest.approx({'a': 1, 'b': 2, 'c': 8})

    def test_knows_nothing_of_other_kinds(self) -> None:
        """A kind that nobody told of needs nothing known."""
        assert not book().work_of('other')

    def test_ends_in_a_loop(self) -> None:
        """Kinds that seem to call each other do not hang it."""
        needs = book()
        needs.learn(
            'sync',
            KindDemand(
                node='n', service='c', seconds=0.01, calls_by_kind={'peek': 0.4}
            ),
        )
        assert needs.work_of('check')['c'] > 0

    def test_forgets_a_service_that_no_longer_runs_it(self) -> None:
        """A kind that moved to another service is told of anew."""
        needs = book()
        needs.learn(
            'sync',
            KindDemand(node='n', service='d', seconds=0.5, calls_by_kind={}),
        )
        assert 'c' not in needs.work_of('check')
