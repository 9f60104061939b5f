"""Inquiries and hand-overs survive encoding and decoding unchanged."""

import pytest

from lovageshunt.calls import HomeNode, Outcome, RefusalReason
from lovageshunt.errors import MalformedEnvelopeError
from lovageshunt.idempotency import (
    Claim,
    Ending,
    HandOverEntry,
    Inquire,
    InquiryAnswer,
    StoredAnswer,
)
from lovageshunt.node.control._inquiry_codec import (
    decode_hand_over,
    decode_inquiry,
    decode_inquiry_answer,
    encode_hand_over,
    encode_inquiry,
    encode_inquiry_answer,
)

_N1 = HomeNode(node='n1', incarnation='a')
_N2 = HomeNode(node='n2', incarnation='b')


class TestInquiry:
    """Inquiries and their answers."""

    def test_round_trip(self):
        """Every field of an inquiry is decoded as it was encoded."""
        inquiry = Inquire(key='k', peer=_N2, age_ms=5, number=6, digest=7)
        inquired = decode_inquiry(encode_inquiry(_N1, inquiry))

        assert inquired.asker == _N1
        assert (inquired.key, inquired.age_ms) == ('k', 5)
        assert (inquired.number, inquired.digest) == (6, 7)

    def test_answer_round_trip(self):
        """Every field of an answer is decoded as it was encoded."""
        answer = InquiryAnswer(
            claim=Claim.HELD_HERE,
            answerer=_N2,
            home=_N1,
            refused_through=3,
            known=(_N1, _N2),
            covered=(_N2,),
            is_witness=True,
        )

        wire = encode_inquiry_answer(answer)

        assert decode_inquiry_answer(wire) == answer

    @pytest.mark.parametrize('decode', [decode_inquiry, decode_hand_over])
    @pytest.mark.parametrize('body', [b'', b'[]', b'{}', b'{"asker": 1}'])
    def test_noise_is_a_typed_error(self, decode, body):
        """A malformed message raises ``MalformedEnvelopeError``."""
        with pytest.raises(MalformedEnvelopeError):
            decode(body)


class TestHandOver:
    """The call records that a leaving node sends to its peers."""

    def test_round_trip(self):
        """Endings keep their answers; a refused call has no ending."""
        ending = Ending(
            outcome=Outcome.FAILED,
            reason=RefusalReason.TARGET_FAILED,
            answer=StoredAnswer(
                status=500,
                headers=(('x-a', '1'),),
                body=b'\x00\xff',
            ),
        )
        entries = (
            HandOverEntry(key='k', ending=ending, refused_through=0),
            HandOverEntry(key='m', ending=None, refused_through=2),
        )
        handed = decode_hand_over(encode_hand_over(_N1, entries))

        assert (handed.leaver, handed.entries) == (_N1, entries)
