"""Tests of encoding and decoding the context and answer headers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.calls import (
    AnswerInfo,
    CallContext,
    HomeNode,
    LoadReport,
    Outcome,
    RefusalReason,
    decode_answer,
    decode_context,
    encode_answer,
    encode_context,
)
from lovageshunt.errors import MalformedAnswerError, MalformedContextError


class TestContext:
    """The context header."""

    @given(
        request_id=st.text(max_size=40),
        importance=st.integers(0, 7),
        rank=st.integers(0, 65535),
        attempt=st.integers(0, 9),
        home=st.none() | st.just(HomeNode(node='n1', incarnation='a')),
    )
    def test_round_trip(self, request_id, importance, rank, attempt, home):
        """A context is unchanged by encoding and decoding."""
        context = CallContext(
            request_id=request_id,
            call_id='c',
            importance=importance,
            rank=rank,
            timeout_ms=1000,
            attempt=attempt,
            home=home,
        )

        assert decode_context(encode_context(context)) == context

    def test_any_script_stays_ascii(self):
        """Non-ASCII names are encoded as ASCII, as headers require."""
        context = CallContext(
            request_id='r',
            call_id='c',
            caller='teléfono',
            kind='نرخ',
            importance=0,
            rank=0,
            timeout_ms=1,
        )
        header = encode_context(context)

        assert header.isascii()
        assert decode_context(header) == context

    @given(header=st.binary(max_size=60))
    def test_noise_is_a_typed_error(self, header):
        """Arbitrary bytes raise ``MalformedContextError``."""
        with pytest.raises(MalformedContextError):
            decode_context(header)

    @pytest.mark.parametrize(
        'header',
        [
            '[]',
            '{"request_id": 1}',
            '{"importance": 8}',
            '{"rank": 65536}',
            '{"timeout_ms": -1}',
            '{"attempt": true}',
            '{"request_id": "a"}',
            '{"unheard_of": 1}',
            'x' * 5000,
        ],
    )
    def test_bad_fields_are_refused(self, header):
        """A header with an invalid field, or an oversized one, is refused."""
        with pytest.raises(MalformedContextError):
            decode_context(header)


class TestAnswer:
    """The answer header."""

    def test_round_trip(self):
        """An answer is unchanged by encoding and decoding."""
        info = AnswerInfo(
            call_id='c',
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.OVERLOAD,
            retry_after_ms=250,
            threshold_by_service={'records': 12},
            home=HomeNode(node='n1', incarnation='a'),
            load=LoadReport(running=1, waiting=2, limit=3, service_ms=4.5),
        )

        assert decode_answer(encode_answer(info), 'c') == info

    def test_answer_to_another_call_is_refused(self):
        """An answer with another call's id is never accepted."""
        info = AnswerInfo(call_id='other', outcome=Outcome.ANSWERED)

        with pytest.raises(MalformedAnswerError):
            decode_answer(encode_answer(info), 'c')
