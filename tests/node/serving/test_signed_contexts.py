"""Contexts that come in."""

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
from lovageshunt.node.serving._border import admissible_of
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
    """Return a request with a context that claims the most."""
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


class TestAdmissible:
    """The call in a request."""

    @pytest.mark.parametrize('key', [None, ContextKey(b'k' * 16)])
    def test_caller_raises_nothing(self, key):
        """A context that is unsigned or wrongly signed gets its rule's."""
        found = admissible_of(inbound_of(key), RULE, KEY).ok
        context = found.context

        assert found.is_external
        assert (context.importance, context.rank) == (5, rank_of('r'))
        assert context.retries_left <= RULE.retry_bound
        assert context.timeout_ms == RULE.timeout_ms
        assert context.call_id == 'r.1'

    def test_importance_of_caller(self):
        """The rule for a caller's name holds for an unsigned context."""
        found = admissible_of(inbound_of(None, caller='kiosk'), RULE, KEY).ok

        assert found.context.importance == 3

    def test_bound(self):
        """An unsigned attempt beyond the bound is refused."""
        found = admissible_of(inbound_of(None, attempt=9), RULE, KEY)

        assert found.error is RefusalReason.RETRY_BOUND

    @pytest.mark.parametrize('key', [None, KEY])
    def test_known_context(self, key):
        """A signed context, or any in a fleet without a key, is believed."""
        found = admissible_of(inbound_of(key), RULE, key).ok

        assert not found.is_external
        assert (found.context.importance, found.context.rank) == (0, 0)
