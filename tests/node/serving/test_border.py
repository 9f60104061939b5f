"""Parsing of calls from HTTP requests, and responses for endings."""

import pytest

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.client import InboundRequest
from lovageshunt.idempotency import Ending
from lovageshunt.node.serving._http_boundary import (
    fingerprint_of,
    parse_call,
    reportable_ending,
    response_of,
)
from lovageshunt.rules import KindRule


def make_call(request_id, *, is_repeatable=True, attempt='1', caller=''):
    """Return a request of a caller without the library, and its call."""
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
    return inbound, parse_call(inbound, rule)


class TestFingerprint:
    """The fingerprint identifies requests with the same content."""

    def test_lookups_of_the_same_content_share_it(self):
        """A crashing lookup sent again with a new id is still recognised."""
        first, one = make_call('r1')
        second, two = make_call('r2')

        assert fingerprint_of(first, one.ok) == fingerprint_of(second, two.ok)

    def test_purchases_of_the_same_content_do_not(self):
        """A purchase is not quarantined because an equal one crashed."""
        first, one = make_call('r1', is_repeatable=False)
        second, two = make_call('r2', is_repeatable=False)

        assert fingerprint_of(first, one.ok) != fingerprint_of(second, two.ok)


class TestExternalCalls:
    """Calls of callers that do not embed the library."""

    def test_importance_comes_from_the_rules(self):
        """The rules set the importance by the name of the caller."""
        _, call = make_call('r', caller='kiosk')

        assert call.ok.context.importance == 1

    def test_attempt_beyond_the_bound_is_refused(self):
        """A retry beyond the bound gets no further allowance."""
        _, call = make_call('r', attempt='9')

        assert call.error is RefusalReason.RETRY_BOUND

    @pytest.mark.parametrize('request_id', ['x' * 200, 'é'])
    def test_ids_unfit_for_headers_are_refused(self, request_id):
        """An id is sent in headers at every hop, so it is short and ASCII."""
        _, call = make_call(request_id)

        assert call.error is RefusalReason.MALFORMED

    def test_not_run_is_not_claimed_for_a_resent_lookup(self):
        """A retried lookup is failed, since an earlier attempt may have run."""
        _, call = make_call('r', attempt='2')
        refused = Ending(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
        )

        assert reportable_ending(call.ok, refused).outcome is Outcome.FAILED

    def test_refusal_has_retry_after(self):
        """Retry-After is in whole seconds, rounded up."""
        _, call = make_call('r')
        refused = Ending(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
        )
        response = response_of(call.ok.context, refused, 1200)

        assert (b'retry-after', b'2') in response.headers
        assert response.status == 503
