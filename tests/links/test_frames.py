"""The wire form of what nodes tell one another."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links import (
    FrameKind,
    FrameReader,
    RunAnswer,
    RunOrder,
    TargetLoadReport,
    decode_answer,
    decode_load,
    decode_order,
    encode_answer,
    encode_frame,
    encode_load,
    encode_order,
)

LOAD = LoadReport(running=3, waiting=1, limit=8, service_ms=12.5)
NOW = 1000.0


def order(**changes: object) -> RunOrder:
    fields: dict[str, object] = {
        'attempt_id': b'9c41',
        'target_id': 'i-1',
        'kind': 'r-1',
        'caller_service': 'balances',
        'importance': 3,
        'is_repeatable': True,
        'is_repeat': True,
        'deadline': NOW + 1.5,
        'method': b'POST',
        'request_target': b'/a/b?c',
        'fields': b'host: x\r\n',
        'body': b'\x00body',
    }
    return RunOrder(**(fields | changes))  # type: ignore[arg-type]


class TestFrameReader:
    """Cutting a stream into frames."""

    @given(st.lists(st.binary(max_size=50)), st.integers(1, 40))
    def test_finds_the_frames_however_they_arrive(
        self,
        payloads: list[bytes],
        step: int,
    ) -> None:
        """The frames do not depend on how the bytes are cut."""
        stream = b''.join(
            encode_frame(FrameKind.ORDER, at, payload)
            for at, payload in enumerate(payloads)
        )
        reader = FrameReader()
        frames = [
            frame
            for at in range(0, len(stream), step)
            for frame in reader.feed(stream[at : at + step])
        ]
        assert [frame.payload for frame in frames] == payloads
        assert [frame.stream for frame in frames] == list(range(len(payloads)))

    @given(st.binary(max_size=200))
    def test_never_fails_otherwise(self, garbage: bytes) -> None:
        """Bytes that are no frames raise the one documented error."""
        try:
            FrameReader().feed(garbage)
        except MalformedFrameError:
            return

    def test_refuses_a_length_out_of_bounds(self) -> None:
        """A frame that could never be kept is refused at its head."""
        with pytest.raises(MalformedFrameError):
            FrameReader().feed(b'\xff' * 9)


class TestOrders:
    """Orders on the wire."""

    def test_keep_every_field(self) -> None:
        """An order is read as it was written, but for its clock."""
        read = decode_order(encode_order(order(), NOW), 50.0)
        assert read == order(deadline=51.5)

    def test_tell_no_time_below_zero(self) -> None:
        """An order that is late has no time left."""
        late = encode_order(order(deadline=NOW - 1), NOW)
        assert decode_order(late, NOW).deadline == NOW

    @given(st.binary(max_size=120))
    def test_are_refused_when_malformed(self, garbage: bytes) -> None:
        """Bytes that are no order raise the one documented error."""
        try:
            decode_order(garbage, NOW)
        except MalformedFrameError:
            return

    def test_are_refused_with_other_text(self) -> None:
        """A name that is no UTF-8 is no order."""
        encoded = encode_order(order(target_id='i-1'), NOW)
        with pytest.raises(MalformedFrameError):
            decode_order(encoded.replace(b'i-1', b'\xff\xfe1'), NOW)


class TestAnswers:
    """Answers on the wire."""

    @pytest.mark.parametrize('outcome', list(Outcome))
    @pytest.mark.parametrize('reason', [None, *RefusalReason])
    def test_keep_outcome_and_reason(
        self,
        outcome: Outcome,
        reason: RefusalReason | None,
    ) -> None:
        """Outcomes and reasons are never merged."""
        answer = RunAnswer(outcome=outcome, reason=reason, load=LOAD)
        assert decode_answer(encode_answer(answer)) == answer

    def test_keep_the_target_s_answer(self) -> None:
        """Status, fields and body arrive as they left."""
        answer = RunAnswer(
            outcome=Outcome.ANSWERED,
            status=201,
            fields=b'a: b\r\n',
            body=b'c' * 3000,
        )
        assert decode_answer(encode_answer(answer)) == answer

    def test_are_refused_when_cut(self) -> None:
        """An answer that is shorter than it says is refused."""
        answer = RunAnswer(outcome=Outcome.ANSWERED, fields=b'a: b\r\n')
        with pytest.raises(MalformedFrameError):
            decode_answer(encode_answer(answer)[:-1])


class TestLoad:
    """A target's load on the wire."""

    def test_keeps_every_field(self) -> None:
        """Load, share and target arrive as they left."""
        news = TargetLoadReport(
            target_id='i-1',
            load=LOAD,
            share=0.5,
            sent_per_second=40,
            refused_per_second=2.5,
        )
        assert decode_load(encode_load(news)) == news
