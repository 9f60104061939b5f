"""Summing the demand of a request at every service."""

import pytest

from lovageshunt.pressure import DemandModel, KindDemand


def demand_model() -> DemandModel:
    model = DemandModel()
    model.learn(
        'check',
        KindDemand(
            node='n', service='a', seconds=0.2, calls_by_kind={'peek': 2}
        ),
    )
    model.learn(
        'peek',
        KindDemand(
            node='n', service='b', seconds=0.1, calls_by_kind={'sync': 4}
        ),
    )
    model.learn(
        'sync',
        KindDemand(node='n', service='c', seconds=0.015, calls_by_kind={}),
    )
    return model


class TestDemandModel:
    """Slot-seconds and runs by service."""

    def test_follows_the_calls(self) -> None:
        """Downstream work is multiplied by the calls that cause it."""
        work = demand_model().work_of('check')
        assert work == pytest.approx({'a': 0.2, 'b': 0.2, 'c': 0.12})

    def test_counts_the_runs(self) -> None:
        """Downstream runs are multiplied by the calls that cause them."""
        runs = demand_model().runs_of('check')
        assert runs == pytest.approx({'a': 1, 'b': 2, 'c': 8})

    def test_unreported_kind_has_no_demand(self) -> None:
        """A kind that no node reported has an empty demand."""
        assert not demand_model().work_of('other')

    def test_call_cycle_ends(self) -> None:
        """Kinds that seem to call each other cause no endless recursion."""
        model = demand_model()
        model.learn(
            'sync',
            KindDemand(
                node='n', service='c', seconds=0.01, calls_by_kind={'peek': 0.4}
            ),
        )
        assert model.work_of('check')['c'] > 0

    def test_forgets_a_service_that_no_longer_runs_it(self) -> None:
        """A report from another service replaces that of the old one."""
        model = demand_model()
        model.learn(
            'sync',
            KindDemand(node='n', service='d', seconds=0.5, calls_by_kind={}),
        )
        assert 'c' not in model.work_of('check')


class TestParts:
    """Means over the nodes of a part of the fleet."""

    def test_newer_means_replace_older_ones(self) -> None:
        """What a part reports counts at once, as a mean over the parts."""
        model = DemandModel()
        for part, calls in (('a', 2.0), ('b', 4.0), ('a', 6.0)):
            model.learn_part('k', part_of(part, {'in': calls}))
        assert model.demand_by_kind()['k'].calls_by_kind == {'in': 5}

    def test_forgets_a_part_that_others_include(self) -> None:
        """The last part that is known stays until there is another."""
        model = DemandModel()
        model.learn_part('k', part_of('a', {'in': 2}))
        model.learn_part('k', part_of('b', {'in': 4}))
        model.forget('a')
        assert model.demand_by_kind()['k'].calls_by_kind == {'in': 4}
        model.forget('b')
        assert model.demand_by_kind()['k'].seconds == 1


class TestUnknownCalls:
    """Nodes and parts that have not seen what a kind calls."""

    def test_node_without_an_estimate_lowers_none(self) -> None:
        """A node that has run few of a kind does not say that it calls none."""
        model = DemandModel()
        model.learn('k', part_of('n1', {'in': 4}))
        model.learn('k', part_of('n2', None))
        assert model.demand_by_kind()['k'].calls_by_kind == {'in': 4}

    def test_part_without_an_estimate_lowers_none(self) -> None:
        """A part that knows of no calls yet is left out of the mean."""
        model = DemandModel()
        model.learn_part('k', part_of('a', {'in': 4}))
        model.learn_part('k', part_of('b', {}))
        assert model.demand_by_kind()['k'].calls_by_kind == {'in': 4}


def part_of(part: str, calls: dict[str, float] | None) -> KindDemand:
    return KindDemand(node=part, service='s', seconds=1, calls_by_kind=calls)
