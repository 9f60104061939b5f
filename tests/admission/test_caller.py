"""A caller's estimate of thresholds."""

from lovageshunt.admission import (
    OPEN_THRESHOLD,
    CallerSettings,
    CallerThresholds,
)
from lovageshunt.calls import RANK_COUNT

HIGH = RANK_COUNT // 2
LOW = 5 * RANK_COUNT + HIGH


def thresholds_after(threshold, times=30):
    thresholds = CallerThresholds(CallerSettings())
    for _ in range(times):
        thresholds.learn('records', threshold, 0)
    return thresholds


class TestVerdict:
    """Refusals at the caller."""

    def test_unknown_service_is_tried(self):
        """A service without a reported threshold refuses nothing."""
        assert CallerThresholds().verdict('records', LOW, 0) is None

    def test_low_level_is_refused_by_the_caller(self):
        """A level at or above the threshold is refused, one below is not."""
        thresholds = thresholds_after(2 * RANK_COUNT)

        assert thresholds.verdict('records', LOW, 0) > 0
        assert thresholds.verdict('records', HIGH, 0) is None

    def test_retry_delay_grows_with_the_distance(self):
        """The retry delay grows with the distance from the threshold."""
        thresholds = thresholds_after(2 * RANK_COUNT)

        near = thresholds.verdict('records', 3 * RANK_COUNT + HIGH, 0)
        assert thresholds.verdict('records', LOW, 0) > near

    def test_silent_service_is_tried_again(self):
        """Without answers the threshold opens, for the lower levels first."""
        thresholds = thresholds_after(0)

        assert thresholds.verdict('records', LOW, 1) is not None
        assert thresholds.verdict('records', 400, 1) is None
        assert thresholds.verdict('records', LOW, 5) is None

    def test_kind_is_refused_only_for_its_dependencies(self):
        """A kind whose answers never named the service is admitted."""
        thresholds = thresholds_after(2 * RANK_COUNT)
        thresholds.record_dependencies('history', ['records'], 0)

        assert thresholds.verdict_of_kind('history', LOW, 0) > 0
        assert thresholds.verdict_of_kind('tariff', LOW, 0) is None

    def test_kinds_are_bounded(self):
        """The kind whose last update is oldest is removed first."""
        thresholds = CallerThresholds(CallerSettings(max_kinds=2))
        for kind in ('a', 'b', 'a', 'c'):
            thresholds.record_dependencies(kind, ['records'], 0)

        assert [thresholds.dependencies(kind, 0) for kind in 'abc'] == [
            ['records'],
            [],
            ['records'],
        ]


class TestAdvertised:
    """The thresholds sent with answers."""

    def test_open_services_are_left_out(self):
        """Only services that refuse levels are advertised."""
        thresholds = thresholds_after(2 * RANK_COUNT)
        thresholds.learn('tariffs', OPEN_THRESHOLD, 0)

        assert list(thresholds.advertised(0)) == ['records']

    def test_only_services_used_are_advertised(self):
        """An answer advertises only the services that its call used."""
        thresholds = thresholds_after(2 * RANK_COUNT)
        thresholds.learn('stock', RANK_COUNT, 0)

        assert list(thresholds.advertised(0, {'stock'})) == ['stock']

    def test_opened_service_is_advertised_for_a_while(self):
        """Callers learn that a service no longer refuses anything."""
        thresholds = thresholds_after(2 * RANK_COUNT)
        for _ in range(60):
            thresholds.learn('records', OPEN_THRESHOLD, 1)

        assert thresholds.advertised(1)['records'] > 7 * RANK_COUNT
        assert not thresholds.advertised(10)
