"""Verification of the contexts of incoming calls."""

import pytest

from lovageshunt.calls import (
    CONTEXT_HEADER,
    CallContext,
    ContextKey,
    RefusalReason,
    encode_context,
    rank_of,
)
from lovageshunt.client import InboundRequest
from lovageshunt.node.serving._http_boundary import parse_call
from lovageshunt.rules import KindRule

KEY = ContextKey(b'the key of the fleet')
RULE = KindRule(
    service='shop',
    kind='basket',
    method='GET',
    path='/',
    importance=5,
    is_repeatable=True,
    timeout_ms=900,
    retry_bound=3,
    importance_by_caller={'kiosk': 3},
)


def inbound_of(key, **fields):
    """Return a request whose context claims the top values."""
    context = CallContext(
        **{
            'request_id': 'r',
            'call_id': 'r.1',
            'importance': 0,
            'rank': 0,
            'timeout_ms': 60_000,
            'retries_left': 99,
            **fields,
        },
    )
    return InboundRequest(
        method='GET',
        path='/',
        target='/',
        headers={CONTEXT_HEADER: encode_context(context, key)},
        body=b'',
    )


class TestParseCall:
    """Parsing of a call whose context is signed, unsigned or forged."""

    @pytest.mark.parametrize('key', [None, ContextKey(b'k' * 16)])
    def test_unverified_claims_are_ignored(self, key):
        """An unsigned or wrongly signed context gets the limits of its rule."""
        parsed = parse_call(inbound_of(key), RULE, KEY).ok
        context = parsed.context

        assert parsed.is_external
        assert (context.importance, context.rank) == (5, rank_of('r'))
        assert context.retries_left <= RULE.retry_bound
        assert context.timeout_ms == RULE.timeout_ms
        assert context.call_id == 'r.1'

    def test_importance_of_caller(self):
        """An unsigned context gets the importance set for its caller."""
        parsed = parse_call(inbound_of(None, caller='kiosk'), RULE, KEY).ok

        assert parsed.context.importance == 3

    def test_bound(self):
        """An unsigned attempt beyond the bound is refused."""
        parsed = parse_call(inbound_of(None, attempt=9), RULE, KEY)

        assert parsed.error is RefusalReason.RETRY_BOUND

    @pytest.mark.parametrize('key', [None, KEY])
    def test_known_context(self, key):
        """A signed context is trusted, as is any in a fleet without a key."""
        parsed = parse_call(inbound_of(key), RULE, key).ok

        assert not parsed.is_external
        assert (parsed.context.importance, parsed.context.rank) == (0, 0)
