"""The target list during and after outages of the platform."""

from lovageshunt.sidecar import TargetEntry, TargetList


def entry(target_id: str, *, is_leaving: bool = False) -> TargetEntry:
    return TargetEntry(
        target_id=target_id,
        service='s',
        host='10.0.0.1',
        port=80,
        failure_domain='fd',
        slots=4,
        is_leaving=is_leaving,
        cold_seconds=0,
        started_ms=1,
    )


def list_of(*entries: TargetEntry) -> TargetList:
    targets = TargetList()
    targets.replace(list(entries), 0)
    return targets


def ids(targets: TargetList) -> set[str]:
    return {each.target_id for each in targets.entries()}


class TestTargetList:
    """Which targets are listed."""

    def test_follows_the_platform_at_once(self) -> None:
        """Without an outage a removal applies at once."""
        targets = list_of(entry('a'), entry('b'))
        targets.remove('a', 100)
        assert ids(targets) == {'b'}

    def test_keeps_what_lapsed_in_an_outage(self) -> None:
        """A target that is missing after an outage stays for 2.2 s."""
        targets = list_of(entry('a'), entry('b'))
        targets.note_platform_unreachable(100)
        targets.replace([entry('b')], 101)
        assert ids(targets) == {'a', 'b'}
        assert not targets.expire(103)
        assert targets.expire(103.3)
        assert ids(targets) == {'b'}

    def test_forgets_the_lapse_of_one_that_returns(self) -> None:
        """A target that registered again does not expire."""
        targets = list_of(entry('a'))
        targets.note_platform_unreachable(100)
        targets.remove('a', 101)
        targets.put(entry('a'))
        assert not targets.expire(200)
        assert ids(targets) == {'a'}

    def test_removes_a_leaving_target_at_once(self) -> None:
        """A leaving target is not kept after an outage."""
        targets = list_of(entry('a', is_leaving=True))
        targets.note_platform_unreachable(100)
        targets.remove('a', 101)
        assert not ids(targets)
