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


def end_outage(targets: TargetList, now: float) -> None:
    """Note that the platform failed for two seconds, until ``now``."""
    targets.note_platform_unreachable(now - 2)
    targets.note_platform_answered(now)


class TestTargetList:
    """Which targets are listed."""

    def test_follows_the_platform_at_once(self) -> None:
        """Without an outage a removal applies at once."""
        targets = list_of(entry('a'), entry('b'))
        targets.remove('a', 100)
        assert ids(targets) == {'b'}

    def test_keeps_what_lapsed_in_an_outage(self) -> None:
        """A target that is missing after an outage stays for 2.1 s."""
        targets = list_of(entry('a'), entry('b'))
        end_outage(targets, 101)
        targets.replace([entry('b')], 101)
        assert ids(targets) == {'a', 'b'}
        assert not targets.expire(103)
        assert targets.expire(103.2)
        assert ids(targets) == {'b'}

    def test_keeps_a_target_until_a_time_after_the_outage(self) -> None:
        """A removal later after an outage is put off for less time."""
        targets = list_of(entry('a'))
        end_outage(targets, 101)
        targets.remove('a', 102.5)
        assert ids(targets) == {'a'}
        assert targets.expire(103.2)
        assert not ids(targets)

    def test_keeps_nothing_after_a_read_that_was_lost(self) -> None:
        """One failed read is not an outage in which registrations expire."""
        targets = list_of(entry('a'))
        targets.note_platform_unreachable(100)
        targets.note_platform_answered(100.3)
        targets.remove('a', 100.3)
        assert not ids(targets)

    def test_forgets_the_lapse_of_one_that_returns(self) -> None:
        """A target that registered again does not expire."""
        targets = list_of(entry('a'))
        end_outage(targets, 101)
        targets.remove('a', 101)
        targets.put(entry('a'))
        assert not targets.expire(200)
        assert ids(targets) == {'a'}

    def test_removes_a_leaving_target_at_once(self) -> None:
        """A leaving target is not kept after an outage."""
        targets = list_of(entry('a', is_leaving=True))
        end_outage(targets, 101)
        targets.remove('a', 101)
        assert not ids(targets)
