"""The binary encoding of frames and messages."""

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
    """Splitting a stream of bytes into frames."""

    @given(st.lists(st.binary(max_size=50)), st.integers(1, 40))
    def test_finds_the_frames_however_they_arrive(
        self,
        payloads: list[bytes],
        step: int,
    ) -> None:
        """The frames do not depend on how the bytes are split."""
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
    def test_raises_only_the_documented_error(self, garbage: bytes) -> None:
        """Random bytes raise ``MalformedFrameError`` or nothing."""
        try:
            FrameReader().feed(garbage)
        except MalformedFrameError:
            return

    def test_refuses_a_length_out_of_bounds(self) -> None:
        """A frame beyond the limit is refused before its payload arrives."""
        with pytest.raises(MalformedFrameError):
            FrameReader().feed(b'\xff' * 9)


class TestSkippedFrame:
    """A large frame that there is no room for."""

    def test_is_returned_without_its_payload(self) -> None:
        """What follows it is read as usual."""
        large = encode_frame(FrameKind.ORDER, 7, bytes(10**6))
        after = encode_frame(FrameKind.PING, 0) * 2
        reader = FrameReader()
        assert not reader.feed(large[:400_000])
        skipped = reader.skip_large()
        assert skipped is not None
        assert (skipped.kind, skipped.stream) == (FrameKind.ORDER, 7)
        assert reader.held_bytes == 0
        assert not reader.feed(large[400_000:700_000])
        frames = reader.feed(large[700_000:] + after)
        assert [frame.kind for frame in frames] == [FrameKind.PING] * 2

    def test_is_none_of_a_small_one(self) -> None:
        """A part of a small frame is not skipped."""
        reader = FrameReader()
        reader.feed(encode_frame(FrameKind.ORDER, 7, bytes(1000))[:500])
        assert reader.skip_large() is None


class TestOrders:
    """Encoding and decoding of orders."""

    def test_keep_every_field(self) -> None:
        """Every field survives; the deadline moves to the reader's clock."""
        read = decode_order(encode_order(order(), NOW), 50.0)
        assert read == order(deadline=51.5)

    def test_have_no_negative_remaining_time(self) -> None:
        """An order after its deadline has no time left."""
        late = encode_order(order(deadline=NOW - 1), NOW)
        assert decode_order(late, NOW).deadline == NOW

    @given(st.binary(max_size=120))
    def test_are_refused_when_malformed(self, garbage: bytes) -> None:
        """Random bytes raise ``MalformedFrameError`` or nothing."""
        try:
            decode_order(garbage, NOW)
        except MalformedFrameError:
            return

    def test_are_refused_with_invalid_utf8(self) -> None:
        """An order with a name that is not UTF-8 is malformed."""
        encoded = encode_order(order(target_id='i-1'), NOW)
        with pytest.raises(MalformedFrameError):
            decode_order(encoded.replace(b'i-1', b'\xff\xfe1'), NOW)


class TestAnswers:
    """Encoding and decoding of answers."""

    @pytest.mark.parametrize('outcome', list(Outcome))
    @pytest.mark.parametrize('reason', [None, *RefusalReason])
    def test_keep_outcome_and_reason(
        self,
        outcome: Outcome,
        reason: RefusalReason | None,
    ) -> None:
        """Every combination of outcome and reason stays distinct."""
        answer = RunAnswer(outcome=outcome, reason=reason, load=LOAD)
        assert decode_answer(encode_answer(answer)) == answer

    def test_keep_the_target_s_answer(self) -> None:
        """Status, header fields and body are unchanged."""
        answer = RunAnswer(
            outcome=Outcome.ANSWERED,
            status=201,
            fields=b'a: b\r\n',
            body=b'c' * 3000,
        )
        assert decode_answer(encode_answer(answer)) == answer

    def test_are_refused_when_truncated(self) -> None:
        """An answer shorter than its declared lengths is refused."""
        answer = RunAnswer(outcome=Outcome.ANSWERED, fields=b'a: b\r\n')
        with pytest.raises(MalformedFrameError):
            decode_answer(encode_answer(answer)[:-1])


class TestLoad:
    """Encoding and decoding of load reports."""

    def test_keeps_every_field(self) -> None:
        """Load, share, rates and target are unchanged."""
        report = TargetLoadReport(
            target_id='i-1',
            load=LOAD,
            share=0.5,
            sent_per_second=40,
            refused_per_second=2.5,
        )
        assert decode_load(encode_load(report)) == report


class TestLargeFrames:
    """Frames that are collected in one buffer."""

    def test_reads_them_in_pieces_of_any_size(self) -> None:
        """A large frame between small ones, whatever a read returns."""
        body = bytes(range(256)) * 2048
        large = encode_frame(FrameKind.ORDER, 7, body)
        sent = encode_frame(FrameKind.PING, 0) + large
        sent += encode_frame(FrameKind.PONG, 0)
        for size in (1000, 65536, len(sent)):
            reader = FrameReader()
            frames = [
                frame
                for start in range(0, len(sent), size)
                for frame in reader.feed(sent[start : start + size])
            ]
            kinds = [frame.kind for frame in frames]
            assert kinds == [FrameKind.PING, FrameKind.ORDER, FrameKind.PONG]
            assert bytes(frames[1].payload) == body
            assert reader.held_bytes == 0

    def test_counts_what_it_holds(self) -> None:
        """A part of a frame is held until the rest of it is there."""
        reader = FrameReader()
        large = encode_frame(FrameKind.ORDER, 7, bytes(300_000))
        reader.feed(large[:200_000])
        assert reader.held_bytes == 200_000
