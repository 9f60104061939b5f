"""Where a request may be sent next."""

from lovageshunt.calls import RefusalReason
from lovageshunt.http1 import Request
from lovageshunt.sidecar._origin_call import OriginCall
from tests.sidecar.test_origin import RecordingConnection


def call_sent_to(*target_ids: str) -> OriginCall:
    request = Request(
        method=b'GET',
        target=b'/',
        headers=[],
        body=b'',
        keeps_alive=True,
    )
    call = OriginCall(request, RecordingConnection(), b'a')
    call.sent_to = frozenset(target_ids)
    return call


class TestTargetsLeft:
    """Targets that failed, and targets that refused."""

    def test_any_will_do_at_first(self) -> None:
        """A request that was sent nowhere may go everywhere."""
        call = call_sent_to()
        assert call.may_be_sent_to(2) is None
        assert call.attempts_left(2) == 2

    def test_never_returns_to_a_target_that_failed(self) -> None:
        """A target whose answer was lost may have run it."""
        call = call_sent_to('a', 'b')
        call.note_ended('a', RefusalReason.CONNECTION_LOST)
        call.note_ended('b', RefusalReason.TARGET_FAILED)
        assert call.may_be_sent_to(2) == frozenset()
        assert call.attempts_left(2) == 0
        assert not call.allow_last()

    def test_returns_to_targets_that_refused(self) -> None:
        """They did not run it; the last one is asked after the others."""
        call = call_sent_to('a', 'b')
        call.note_ended('a', RefusalReason.SHED)
        call.note_ended('b', RefusalReason.SHED)
        assert call.may_be_sent_to(2) == {'a', 'b'}
        assert call.excluded == {'b'}
        assert call.attempts_left(2) > 0

    def test_returns_to_the_only_target(self) -> None:
        """Where there is no other, the one that refused is asked again."""
        call = call_sent_to('a')
        call.note_ended('a', RefusalReason.SHED)
        assert call.excluded == {'a'}
        assert call.allow_last()
        assert call.excluded == frozenset()
