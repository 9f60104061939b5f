"""Between HTTP and the gate."""

import pytest

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.client import InboundRequest
from lovageshunt.idempotency import Ending
from lovageshunt.node.serving._border import (
    admissible_of,
    fingerprint_of,
    page_of,
    stated_ending,
)
from lovageshunt.rules import KindRule


def make_call(request_id, *, is_repeatable=True, attempt='1', caller=''):
    """Return a call of a caller that embeds no library."""
    inbound = InboundRequest(
        method='POST',
        path='/tokens',
        target='/tokens',
        headers={
            'idempotency-key': request_id,
            'lovageshunt-attempt': attempt,
            'lovageshunt-caller': caller,
        },
        body=b'{"units": 5}',
    )
    rule = KindRule(
        service='payments',
        kind='purchase',
        method='POST',
        path='/tokens',
        importance=3,
        is_repeatable=is_repeatable,
        timeout_ms=1000,
        retry_bound=3,
        importance_by_caller={'kiosk': 1},
    )
    return inbound, admissible_of(inbound, rule)


class TestFingerprint:
    """What requests of the same content have in common."""

    def test_lookups_of_the_same_content_share_it(self):
        """A resend under a new id is still the same poison."""
        first, one = make_call('r1')
        second, two = make_call('r2')

        assert fingerprint_of(first, one.ok) == fingerprint_of(second, two.ok)

    def test_purchases_of_the_same_content_do_not(self):
        """Another family's equal purchase is not condemned with the first."""
        first, one = make_call('r1', is_repeatable=False)
        second, two = make_call('r2', is_repeatable=False)

        assert fingerprint_of(first, one.ok) != fingerprint_of(second, two.ok)


class TestExternalCalls:
    """Calls of callers that embed no library."""

    def test_importance_comes_from_the_rules(self):
        """The caller's name decides, not what it claims."""
        _, call = make_call('r', caller='kiosk')

        assert call.ok.context.importance == 1

    def test_attempt_beyond_the_bound_is_refused(self):
        """A resend opens no new allowance."""
        _, call = make_call('r', attempt='9')

        assert call.error is RefusalReason.RETRY_BOUND

    @pytest.mark.parametrize('request_id', ['x' * 200, 'é'])
    def test_ids_that_cannot_travel_are_refused(self, request_id):
        """An id goes into headers of every hop."""
        _, call = make_call(request_id)

        assert call.error is RefusalReason.MALFORMED

    def test_not_run_is_not_claimed_for_a_resent_lookup(self):
        """An earlier attempt of it may have run."""
        _, call = make_call('r', attempt='2')
        refused = Ending(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
        )

        assert stated_ending(call.ok, refused).outcome is Outcome.FAILED

    def test_refusal_says_when_to_come_back(self):
        """In whole seconds, rounded up, as the header has no finer unit."""
        _, call = make_call('r')
        refused = Ending(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
        )
        page = page_of(call.ok.context, refused, 1200)

        assert (b'retry-after', b'2') in page.headers
        assert page.status == 503
