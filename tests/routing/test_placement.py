"""Placement of calls by load that nodes report."""

from collections import Counter
from random import Random

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.routing import Placement, PlacementRequest, RouteMember

NEAR = 'near'
FAR = 'far'
NO_TARGETS: frozenset[str] = frozenset()


def member(
    node: str,
    domain: str,
    *,
    incarnation: str = '1',
    is_leaving: bool = False,
) -> RouteMember:
    return RouteMember(
        node=node,
        service='s',
        failure_domain=domain,
        region='',
        address='10.0.0.1',
        incarnation=incarnation,
        is_leaving=is_leaving,
    )


def placement_of(*members: RouteMember, seed: int = 1) -> Placement:
    placement = Placement(NEAR, Random(seed))
    placement.set_members(list(members), {})
    return placement


def request_for(
    seconds: float = 1,
    excluded: frozenset[str] = NO_TARGETS,
    *,
    may_explore: bool = False,
) -> PlacementRequest:
    return PlacementRequest(
        kind='k',
        seconds=seconds,
        may_explore=may_explore,
        excluded=excluded,
    )


def load(running: int, waiting: int = 0) -> LoadReport:
    return LoadReport(running=running, waiting=waiting, limit=10, service_ms=5)


def end(
    placement: Placement,
    node: str,
    *,
    seconds: float = 0.05,
    outcome: Outcome = Outcome.ANSWERED,
    reason: RefusalReason | None = None,
    was_error: bool = False,
    now: float = 0,
) -> None:
    placement.started(node)
    placement.ended(
        node,
        'k',
        seconds=seconds,
        outcome=outcome,
        reason=reason,
        was_error=was_error,
        now=now,
    )


def chosen(placement: Placement, count: int = 200, **fields: float) -> Counter:
    found = [placement.choose(request_for(**fields), 0) for _ in range(count)]
    return Counter(each.node for each in found if each is not None)


BOTH = (member('n', NEAR), member('f', FAR))


class TestPlacement:
    """The target that a call is placed at."""

    def test_stays_near_at_low_load(self) -> None:
        """A near target with spare capacity gets every call."""
        placement = placement_of(*BOTH)
        placement.record_reported_load('n', load(6), 0)
        assert chosen(placement) == {'n': 200}

    def test_uses_only_allowed_targets(self) -> None:
        """A call restricted to some targets is sent to one of them."""
        placement = placement_of(*BOTH)
        call = PlacementRequest(
            kind='k',
            seconds=1,
            may_explore=False,
            allowed=frozenset(('f',)),
        )
        found = placement.choose(call, 0)
        assert found is not None
        assert found.node == 'f'
        call.excluded = call.allowed or NO_TARGETS
        assert placement.choose(call, 0) is None

    def test_spills_by_the_difference_in_load(self) -> None:
        """A part of the calls leaves a full near target."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            placement.record_reported_load('n', load(10), 0)
            placement.record_reported_load('f', load(5), 0)
        assert 80 < chosen(placement)['f'] < 160

    def test_stays_near_when_all_are_full(self) -> None:
        """Calls stay near if no other target is less utilised."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            placement.record_reported_load('n', load(10, 5), 0)
            placement.record_reported_load('f', load(10, 5), 0)
        assert chosen(placement) == {'n': 200}

    def test_leaves_a_slow_domain(self) -> None:
        """Calls that would be late near go where they are in time."""
        placement = placement_of(*BOTH)
        for _ in range(40):
            end(placement, 'n', seconds=0.8)
            end(placement, 'f', seconds=0.2)
        assert chosen(placement) == {'f': 200}

    def test_stays_in_a_slow_domain_that_is_in_time(self) -> None:
        """A near target that is slower but in time keeps its calls."""
        placement = placement_of(*BOTH)
        for _ in range(40):
            end(placement, 'n', seconds=0.4)
            end(placement, 'f', seconds=0.1)
        assert chosen(placement) == {'n': 200}

    def test_leaves_a_failing_target(self) -> None:
        """A target that answers with errors loses its calls."""
        placement = placement_of(*BOTH)
        for _ in range(20):
            end(placement, 'n', seconds=0.001, was_error=True)
            end(placement, 'f')
        assert chosen(placement) == {'f': 200}

    def test_ejects_after_lost_answers(self) -> None:
        """Several lost answers in a row eject a target."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            end(placement, 'n', outcome=Outcome.UNKNOWN)
        assert chosen(placement) == {'f': 200}

    def test_uses_all_targets_when_all_are_ejected(self) -> None:
        """When all targets are ejected, calls are still placed."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            end(placement, 'n', outcome=Outcome.UNKNOWN)
            end(placement, 'f', outcome=Outcome.UNKNOWN)
        assert chosen(placement).total() == 200

    def test_avoids_a_leaving_target(self) -> None:
        """A leaving target gets no call, even if it is the only one."""
        placement = placement_of(member('n', NEAR, is_leaving=True))
        assert placement.choose(request_for(), 0) is None

    def test_avoids_a_target_that_refused_as_leaving(self) -> None:
        """A target that refused as leaving is avoided at once."""
        placement = placement_of(*BOTH)
        end(
            placement,
            'n',
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.LEAVING,
        )
        assert chosen(placement) == {'f': 200}

    def test_uses_an_unreachable_target_last(self) -> None:
        """A target without a link is used only if there is no other."""
        placement = placement_of(*BOTH)
        found = placement.choose(request_for(), 0, {'n'}.__contains__)
        assert found is not None
        assert found.node == 'f'
        found = placement.choose(request_for(), 0, {'n', 'f'}.__contains__)
        assert found is not None

    def test_tries_a_newcomer_once(self) -> None:
        """A target that joins gets one call, then is treated as any other."""
        placement = placement_of(member('n', NEAR))
        placement.set_members(list(BOTH), {})
        first = placement.choose(request_for(may_explore=True), 0)
        assert first is not None
        assert first.node == 'f'
        placement.started('f')
        second = placement.choose(request_for(may_explore=True), 0)
        assert second is not None
        assert second.node == 'n'

    def test_never_uses_an_excluded_target(self) -> None:
        """A call with all targets excluded is not placed."""
        placement = placement_of(*BOTH)
        found = placement.choose(request_for(excluded=frozenset(('n', 'f'))), 0)
        assert found is None
