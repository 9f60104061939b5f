"""The targets that the next attempt of a request may use."""

import pytest

from lovageshunt.calls import RefusalReason
from lovageshunt.http1 import Request
from lovageshunt.sidecar._fleet import TargetEntry
from lovageshunt.sidecar._origin_call import OriginCall
from tests.sidecar.test_origin import RecordingConnection


def entry(target_id: str) -> TargetEntry:
    return TargetEntry(
        target_id=target_id,
        service='s',
        host='h',
        port=1,
        failure_domain='z',
        slots=4,
        is_leaving=False,
        cold_seconds=0,
        started_ms=1,
    )


def call_sent_to(*target_ids: str) -> OriginCall:
    request = Request(
        method=b'GET',
        target=b'/',
        headers=[],
        body=b'',
        keeps_alive=True,
    )
    call = OriginCall(request, RecordingConnection(), b'a')
    for target_id in target_ids:
        call.begin_attempt(entry(target_id))
    return call


class TestTargetsLeft:
    """Which targets remain after failures and refusals."""

    def test_allows_any_target_at_first(self) -> None:
        """Before the first attempt every target is allowed."""
        call = call_sent_to()
        assert call.allowed_targets(2) is None
        assert call.attempts_left(2) == 2

    def test_never_returns_to_a_target_that_failed(self) -> None:
        """A target whose response was lost may have run the request."""
        call = call_sent_to('a', 'b')
        call.note_failed_attempt('a', RefusalReason.CONNECTION_LOST)
        call.note_failed_attempt('b', RefusalReason.TARGET_FAILED)
        assert call.allowed_targets(2) == frozenset()
        assert call.attempts_left(2) == 0
        assert not call.allow_last_refuser()

    def test_returns_to_targets_that_refused(self) -> None:
        """Refusing targets did not run it; the last one is tried last."""
        call = call_sent_to('a', 'b')
        call.note_failed_attempt('a', RefusalReason.SHED)
        call.note_failed_attempt('b', RefusalReason.SHED)
        assert call.allowed_targets(2) == {'a', 'b'}
        assert call.excluded == {'b'}
        assert call.attempts_left(2) > 0

    def test_returns_to_the_only_target(self) -> None:
        """Without another target the one that refused is tried again."""
        call = call_sent_to('a')
        call.note_failed_attempt('a', RefusalReason.SHED)
        assert call.excluded == {'a'}
        assert call.allow_last_refuser()
        assert call.excluded == frozenset()

    @pytest.mark.parametrize(
        'reason',
        [RefusalReason.LEAVING, RefusalReason.QUEUE_FULL],
    )
    def test_counts_no_attempt_that_was_not_sent(
        self,
        reason: RefusalReason,
    ) -> None:
        """A call that its target never got may still go to as many others."""
        call = call_sent_to('a')
        call.note_failed_attempt('a', reason)
        assert call.excluded == {'a'}
        assert call.attempts_left(1) == 1
        assert call.allowed_targets(1) is None
