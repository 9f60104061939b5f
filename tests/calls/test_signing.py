"""Signed contexts."""

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
    """A key that the fleet shares."""

    @given(context=CONTEXTS)
    def test_round_trip(self, context):
        """A signed context is read, and believed by holders of the key."""
        header = encode_context(context, KEY)

        assert decode_and_verify_context(header, KEY) == (context, True)
        assert decode_and_verify_context(header, OTHER) == (context, False)
        assert decode_and_verify_context(header, None) == (context, True)
        assert decode_context(header) == context

    @given(context=CONTEXTS, other=CONTEXTS, name=st.sampled_from(SIGNED))
    def test_change(self, context, other, name):
        """A signature holds for no other value of what it covers."""
        tag = KEY.tag(context)
        before = getattr(context, name)
        setattr(context, name, getattr(other, name))

        is_same = getattr(context, name) == before
        assert KEY.has_made(tag, context) is is_same

    @given(text=st.text(max_size=6))
    def test_split_of_ids(self, text):
        """Signs may not move from one id to the other."""
        one = {'importance': 0, 'rank': 0, 'timeout_ms': 0}
        first = CallContext(request_id=f'{text}\n', call_id='', **one)
        second = CallContext(request_id='', call_id=f'{text}\n', **one)

        assert KEY.tag(first) != KEY.tag(second)

    def test_unsigned(self):
        """Without a key nothing is added, and a holder does not believe it."""
        context = CallContext(
            request_id='r', call_id='r', importance=0, rank=0, timeout_ms=1
        )
        header = encode_context(context)

        assert 'tag' not in header
        assert decode_and_verify_context(header, KEY) == (context, False)

    @pytest.mark.parametrize('secret', [b'short', b' ' * 20, b'x' * 65])
    def test_bad_key(self, secret):
        """A key that is too short or too long is refused."""
        with pytest.raises(ContextKeyError, match='16 to 64'):
            ContextKey(secret)

    def test_key_is_not_shown(self):
        """The key is in no text about it."""
        assert '0123' not in repr(KEY)
