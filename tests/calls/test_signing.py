"""Tests of signing and verifying contexts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.calls import (
    CallContext,
    ContextKey,
    decode_and_verify_context,
    decode_context,
    encode_context,
)
from lovageshunt.errors import ContextKeyError

KEY = ContextKey(b'0123456789abcdef')
OTHER = ContextKey(b'0123456789abcdeF')
COUNTS = st.integers(0, 7)
CONTEXTS = st.builds(
    CallContext,
    request_id=st.text(max_size=8),
    call_id=st.text(max_size=8),
    importance=COUNTS,
    rank=COUNTS,
    timeout_ms=COUNTS,
    retries_left=COUNTS,
)
SIGNED = ('request_id', 'call_id', 'importance', 'rank', 'retries_left')


class TestContextKey:
    """The key shared by a fleet."""

    @given(context=CONTEXTS)
    def test_round_trip(self, context):
        """A signed context is decoded by all, trusted by holders of the key."""
        header = encode_context(context, KEY)

        assert decode_and_verify_context(header, KEY) == (context, True)
        assert decode_and_verify_context(header, OTHER) == (context, False)
        assert decode_and_verify_context(header, None) == (context, True)
        assert decode_context(header) == context

    @given(context=CONTEXTS, other=CONTEXTS, name=st.sampled_from(SIGNED))
    def test_tag_covers_each_signed_field(self, context, other, name):
        """A tag is invalid once any field that it covers has changed."""
        tag = KEY.tag(context)
        before = getattr(context, name)
        setattr(context, name, getattr(other, name))

        is_same = getattr(context, name) == before
        assert KEY.verify(tag, context) is is_same

    @given(text=st.text(max_size=6))
    def test_boundary_of_ids_is_signed(self, text):
        """Moving characters from one id to the other changes the tag."""
        one = {'importance': 0, 'rank': 0, 'timeout_ms': 0}
        first = CallContext(request_id=f'{text}\n', call_id='', **one)
        second = CallContext(request_id='', call_id=f'{text}\n', **one)

        assert KEY.tag(first) != KEY.tag(second)

    def test_unsigned_context_is_not_trusted(self):
        """Without a key no tag is added, and key holders do not trust it."""
        context = CallContext(
            request_id='r', call_id='r', importance=0, rank=0, timeout_ms=1
        )
        header = encode_context(context)

        assert 'tag' not in header
        assert decode_and_verify_context(header, KEY) == (context, False)

    @pytest.mark.parametrize('secret', [b'short', b' ' * 20, b'x' * 65])
    def test_key_of_wrong_size_is_refused(self, secret):
        """A key that is too short or too long is refused."""
        with pytest.raises(ContextKeyError, match='16 to 64'):
            ContextKey(secret)

    def test_key_is_not_shown(self):
        """The secret does not appear in the representation."""
        assert '0123' not in repr(KEY)
