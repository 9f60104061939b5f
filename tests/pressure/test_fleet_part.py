"""Sums over a part of the fleet, in place of the reports of its nodes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.errors import MalformedFrameError
from lovageshunt.links import compress, decode_part, encode_part
from lovageshunt.pressure import (
    FleetCapacity,
    FleetRates,
    KindDemand,
    PartSums,
    TargetCapacity,
)


def capacity(slots: int, share: float = 1) -> TargetCapacity:
    return TargetCapacity(
        share=share, slots=slots, sent_per_second=10, refused_per_second=2
    )


def sums_of_two() -> PartSums:
    """Return the sums over two nodes of service ``s``."""
    sums = PartSums()
    for node, count in (('n-1', 8), ('n-2', 16)):
        sums.add_arrivals(node, 's', {'look': count}, seconds=0.8, now=0)
        sums.add_retries(node, {'s': 2}, 0)
        sums.add_capacity('s', f'i-{node}', capacity(9), 0)
        sums.add_demand(
            'look',
            KindDemand(
                node=node, service='s', seconds=0.1, calls_by_kind={'in': 4}
            ),
        )
    return sums


class TestPartSums:
    """What a coordinator sends in place of the reports."""

    def test_sums_up_what_nodes_report(self) -> None:
        """Rates, retries and slots are added, run times averaged."""
        part = sums_of_two().total('c', 0)
        service = part.part_by_service['s']
        assert service.nodes == 2
        assert service.rate_by_kind == {'look': 30}
        assert service.capacities == [capacity(9), capacity(9)]
        assert part.retries_by_service == {'s': 4}
        assert part.demand_by_kind['look'].seconds == pytest.approx(0.1)

    def test_tells_whether_capacity_is_short(self) -> None:
        """It is if targets refuse calls, or if not all demand fits."""
        assert sums_of_two().total('c', 0).is_short
        sums = PartSums()
        assert not sums.total('c', 0).is_short
        ample = TargetCapacity(share=1, slots=9)
        sums.add_capacity('s', 'i', ample, 0)
        assert not sums.total('c', 0).is_short
        sums.add_capacity('s', 'i', TargetCapacity(share=0.9, slots=9), 0)
        assert sums.total('c', 0).is_short

    def test_leaves_out_silent_nodes(self) -> None:
        """A node that reports to another coordinator by now is not counted."""
        sums = sums_of_two()
        sums.add_arrivals('n-1', 's', {'look': 8}, seconds=0.8, now=2)
        part = sums.total('c', 2.1)
        assert part.part_by_service['s'].nodes == 1
        assert part.part_by_service['s'].capacities == []
        assert part.retries_by_service == {}

    @given(
        st.lists(
            st.tuples(st.integers(0, 40), st.floats(0.1, 1), st.integers(1, 9)),
            min_size=1,
            max_size=16,
        )
    )
    def test_sums_in_parts_are_as_good_as_all_reports(
        self, reports: list[tuple[int, float, int]]
    ) -> None:
        """Rates and slots are the same however the nodes are divided."""
        whole = FleetRates()
        parts = FleetRates()
        capacities = FleetCapacity()
        all_targets = FleetCapacity()
        sums = (PartSums(), PartSums())
        for at, (count, share, slots) in enumerate(reports):
            node = f'n-{at}'
            whole.learn(node, {'k': count}, 0.8, 0)
            own = sums[at % 2]
            own.add_arrivals(node, 's', {'k': count}, seconds=0.8, now=0)
            own.add_capacity('s', node, capacity(slots, share), 0)
            all_targets.record_report('s', node, capacity(slots, share), 0)
        for at, own in enumerate(sums):
            part = own.total(f'c-{at}', 0)
            service = part.part_by_service.get('s')
            if service is None:
                continue
            parts.replace(f'c-{at}', service.rate_by_kind, 0)
            capacities.record_part('s', f'c-{at}', service.capacities, 0)
        assert parts.rate_by_key(0).get('k') == pytest.approx(
            whole.rate_by_key(0)['k'], abs=0.01
        )
        assert capacities.slots_of('s', 0) == pytest.approx(
            all_targets.slots_of('s', 0)
        )

    def test_former_coordinator_is_not_counted_twice(self) -> None:
        """Its sums are dropped once those of another include its nodes."""
        rates = FleetRates()
        rates.replace('c-1', {'k': 30}, 0)
        rates.replace('c-2', {'k': 30}, 0)
        rates.forget('c-1')
        assert rates.rate_by_key(0) == {'k': 30}


class TestPartCodec:
    """The encoding of the sums."""

    def test_decodes_what_it_encodes(self) -> None:
        """Nothing is lost on the way."""
        part = sums_of_two().total('c', 0)
        assert decode_part(encode_part(part)) == part

    @pytest.mark.parametrize(
        'payload',
        [
            b'',
            b'no compression',
            compress(b'[]'),
            compress(b'{"coordinator": "c"}'),
            compress(
                b'{"coordinator":"c","part_by_service":{"s":[]},'
                b'"retries_by_service":{},"demand_by_kind":{}}'
            ),
            compress(
                b'{"coordinator":"c","part_by_service":{},'
                b'"retries_by_service":{"s":"many"},"demand_by_kind":{}}'
            ),
        ],
    )
    def test_rejects_malformed_sums(self, payload: bytes) -> None:
        """A malformed part closes the link and changes nothing."""
        with pytest.raises(MalformedFrameError):
            decode_part(payload)
