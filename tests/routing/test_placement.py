"""Placing calls with load that is told several times a second."""

from collections import Counter
from random import Random

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.routing import Placement, PlacementRequest, RouteMember

NEAR = 'near'
FAR = 'far'
NOBODY: frozenset[str] = frozenset()


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


def wanted(
    seconds: float = 1,
    excluded: frozenset[str] = NOBODY,
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


def chosen(placement: Placement, count: int = 200, **want: float) -> Counter:
    found = [placement.choose(wanted(**want), 0) for _ in range(count)]
    return Counter(each.node for each in found if each is not None)


BOTH = (member('n', NEAR), member('f', FAR))


class TestPlacement:
    """Where a call goes."""

    def test_stays_near_on_a_calm_day(self) -> None:
        """A near target with room gets every call."""
        placement = placement_of(*BOTH)
        placement.heard('n', load(6), 0)
        assert chosen(placement) == {'n': 200}

    def test_goes_to_no_other_than_it_may(self) -> None:
        """A call that may go to some targets only is sent to one of them."""
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
        call.excluded = call.allowed or NOBODY
        assert placement.choose(call, 0) is None

    def test_spills_by_the_difference_in_load(self) -> None:
        """A full near target gives away calls, not all at once."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            placement.heard('n', load(10), 0)
            placement.heard('f', load(5), 0)
        assert 80 < chosen(placement)['f'] < 160

    def test_stays_near_when_all_are_full(self) -> None:
        """With no emptier target elsewhere nothing crosses."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            placement.heard('n', load(10, 5), 0)
            placement.heard('f', load(10, 5), 0)
        assert chosen(placement) == {'n': 200}

    def test_leaves_a_slow_domain(self) -> None:
        """Calls that would come too late go where they come in time."""
        placement = placement_of(*BOTH)
        for _ in range(40):
            end(placement, 'n', seconds=0.8)
            end(placement, 'f', seconds=0.2)
        assert chosen(placement) == {'f': 200}

    def test_bears_a_slow_domain_that_is_in_time(self) -> None:
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
        """Answers lost in a row eject a target for a while."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            end(placement, 'n', outcome=Outcome.UNKNOWN)
        assert chosen(placement) == {'f': 200}

    def test_distrusts_a_picture_without_sound_targets(self) -> None:
        """When all targets fail, calls are still placed."""
        placement = placement_of(*BOTH)
        for _ in range(8):
            end(placement, 'n', outcome=Outcome.UNKNOWN)
            end(placement, 'f', outcome=Outcome.UNKNOWN)
        assert chosen(placement).total() == 200

    def test_avoids_who_leaves(self) -> None:
        """A leaving target gets no call, not even as the only one."""
        placement = placement_of(member('n', NEAR, is_leaving=True))
        assert placement.choose(wanted(), 0) is None

    def test_avoids_who_said_that_it_leaves(self) -> None:
        """A target's own word goes before the list."""
        placement = placement_of(*BOTH)
        end(
            placement,
            'n',
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.LEAVING,
        )
        assert chosen(placement) == {'f': 200}

    def test_uses_an_unreachable_target_last(self) -> None:
        """A target without a link is tried only when no other is left."""
        placement = placement_of(*BOTH)
        found = placement.choose(wanted(), 0, frozenset(('n',)))
        assert found is not None
        assert found.node == 'f'
        found = placement.choose(wanted(), 0, frozenset(('n', 'f')))
        assert found is not None

    def test_tries_a_newcomer_once(self) -> None:
        """A target that joins gets one call, then those it is due."""
        placement = placement_of(member('n', NEAR))
        placement.set_members(list(BOTH), {})
        first = placement.choose(wanted(may_explore=True), 0)
        assert first is not None
        assert first.node == 'f'
        placement.started('f')
        second = placement.choose(wanted(may_explore=True), 0)
        assert second is not None
        assert second.node == 'n'

    def test_never_tries_where_it_was_told_not_to(self) -> None:
        """A target that was tried before is not chosen again."""
        placement = placement_of(*BOTH)
        found = placement.choose(wanted(excluded=frozenset(('n', 'f'))), 0)
        assert found is None
