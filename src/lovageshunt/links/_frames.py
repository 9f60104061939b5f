"""The binary encoding of frames and of the messages sent most often.

A frame consists of its length (4 bytes, not counting these), its kind (1
byte), a stream number (4 bytes) and a payload. Numbers are in network byte
order.
"""

from enum import IntEnum
from struct import Struct
from struct import error as StructError
from typing import Any, Final

from lovageshunt._record import Record
from lovageshunt._sending import Buffer
from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._messages import RunAnswer, RunOrder, TargetLoadReport

_PREFIX: Final = Struct('!IBI')
_LENGTH_BYTES: Final = 4
_MIN_LENGTH: Final = _PREFIX.size - _LENGTH_BYTES
#: Enough for the largest body together with its header fields.
_MAX_FRAME_BYTES: Final = 80 * 1024 * 1024
#: A larger frame is collected in one buffer and not copied, in bytes.
_MIN_LARGE_BYTES: Final = 256 * 1024
#: Order: importance, is_repeatable, is_repeat, remaining time in ms, and the
#: lengths of seven fields; the fields and the body follow.
_ORDER: Final = Struct('!B??I5H2I')
#: Answer: outcome, reason, retry-after in ms, status, length of the header
#: fields, whether the load is valid, running, waiting, limit, service time in
#: ms; the header fields and the body follow.
_ANSWER: Final = Struct('!BBIHI?IIIf')
#: Load: running, waiting, limit, service time in ms, share, calls sent and
#: refused a second; the target id follows.
_LOAD: Final = Struct('!IIIffff')
_OUTCOMES: Final = tuple(Outcome)
_REASONS: Final = (None, *RefusalReason)
_MS_PER_SECOND: Final = 1000
_MAX_UINT32: Final = 2**32 - 1


class FrameKind(IntEnum):
    """The kinds of frames; receivers ignore kinds that they do not know."""

    GREETING = 1
    ORDER = 2
    ANSWER = 3
    CANCEL = 4
    PING = 5
    PONG = 6
    LOAD = 7
    DEMAND = 8
    LEAVING = 9
    SNAPSHOT_REQUEST = 10
    SNAPSHOT = 11
    TARGET_LEAVING = 12
    SUSPECTS = 13
    TARGET_DOWN = 14
    SUBSCRIBE = 15
    PLATFORM_PULSE = 16
    FLEET_CHANGES = 17
    FLEET_PART = 18


class Frame(Record):
    """One frame; ``stream`` is the number of its call, or 0 without one.

    ``payload`` is a view of what was received if it is large.
    """

    __slots__ = ('kind', 'stream', 'payload')

    def __init__(self, *, kind: int, stream: int, payload: Any) -> None:
        self.kind = kind
        self.stream = stream
        self.payload = payload


class FrameReader:
    """Splits a stream of bytes into frames.

    ``held_bytes`` is what is held of a frame that is not complete.
    """

    __slots__ = ('_buffer', '_large', '_large_bytes', '_skipped_bytes')

    def __init__(self) -> None:
        self._buffer = b''
        #: What was received of a large frame, and its size.
        self._large = bytearray()
        self._large_bytes = 0
        #: What is still to come of a frame that is skipped.
        self._skipped_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes of a frame that is not complete."""
        return len(self._buffer) + len(self._large)

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that ``received`` completes.

        Raises ``MalformedFrameError`` if a frame's length is out of bounds.
        """
        if self._skipped_bytes:
            skipped = min(self._skipped_bytes, len(received))
            self._skipped_bytes -= skipped
            received = received[skipped:]
        if not self._large_bytes:
            return self._split_buffer(self._buffer + received)
        missing = self._large_bytes - len(self._large)
        self._large += memoryview(received)[:missing]
        if len(received) < missing:
            return []
        frame = self._take_large()
        return [frame, *self._split_buffer(received[missing:])]

    def skip_large(self) -> Frame | None:
        """Release a large frame that is not complete, and skip its rest.

        Return it without its payload, or ``None`` if no large frame is being
        received. Frames behind it are returned as usual.
        """
        if not self._large_bytes:
            return None
        _, kind, stream = _PREFIX.unpack_from(self._large)
        self._skipped_bytes = self._large_bytes - len(self._large)
        self._large = bytearray()
        self._large_bytes = 0
        return Frame(kind=kind, stream=stream, payload=b'')

    def _take_large(self) -> Frame:
        """Return the large frame, a view of what was collected of it."""
        view = memoryview(self._large)
        self._large = bytearray()
        self._large_bytes = 0
        _, kind, stream = _PREFIX.unpack_from(view)
        return Frame(kind=kind, stream=stream, payload=view[_PREFIX.size :])

    def _split_buffer(self, buffer: bytes) -> list[Frame]:
        frames: list[Frame] = []
        offset = 0
        while len(buffer) - offset >= _PREFIX.size:
            length, kind, stream = _PREFIX.unpack_from(buffer, offset)
            if not _MIN_LENGTH <= length <= _MAX_FRAME_BYTES:
                raise MalformedFrameError(
                    f'frame length of {length} bytes is out of bounds',
                )
            end = offset + _LENGTH_BYTES + length
            if len(buffer) < end:
                break
            payload = buffer[offset + _PREFIX.size : end]
            frames.append(Frame(kind=kind, stream=stream, payload=payload))
            offset = end
        self._buffer = buffer[offset:]
        self._note_large()
        return frames

    def _note_large(self) -> None:
        """Collect a frame that will be large in a buffer of its own."""
        if len(self._buffer) < _PREFIX.size:
            return
        size = _LENGTH_BYTES + _PREFIX.unpack_from(self._buffer)[0]
        if size > _MIN_LARGE_BYTES:
            self._large = bytearray(self._buffer)
            self._large_bytes = size
            self._buffer = b''


def encode_frame(kind: FrameKind, stream: int, payload: bytes = b'') -> bytes:
    """Encode one frame; ``stream`` is 0 if it belongs to no call."""
    length = len(payload) + _MIN_LENGTH
    return _PREFIX.pack(length, kind, stream) + payload


def encode_order_frame(
    stream: int, order: RunOrder, now: float
) -> tuple[bytes, Buffer]:
    """Encode the frame of an order but for its body, which follows as it is.

    ``now`` is in seconds on the clock of its deadline.
    """
    head = encode_order_head(order, now)
    length = len(head) + len(order.body) + _MIN_LENGTH
    return _PREFIX.pack(length, FrameKind.ORDER, stream) + head, order.body


def encode_order(order: RunOrder, now: float) -> bytes:
    """Encode an order; ``now`` is in seconds on the clock of its deadline."""
    return encode_order_head(order, now) + order.body


def encode_order_head(order: RunOrder, now: float) -> bytes:
    """Encode what precedes the body of an order."""
    target_id = order.target_id.encode()
    kind = order.kind.encode()
    caller = order.caller_service.encode()
    left_ms = max(0, round((order.deadline - now) * _MS_PER_SECOND))
    head = _ORDER.pack(
        order.importance,
        order.is_repeatable,
        order.is_repeat,
        min(left_ms, _MAX_UINT32),
        len(order.attempt_id),
        len(target_id),
        len(kind),
        len(caller),
        len(order.method),
        len(order.request_target),
        len(order.fields),
    )
    return b''.join(
        (
            head,
            order.attempt_id,
            target_id,
            kind,
            caller,
            order.method,
            order.request_target,
            order.fields,
        ),
    )


def decode_order(payload: Buffer, now: float) -> RunOrder:
    """Decode an order; its deadline is counted from ``now``, in seconds.

    The body of a large one is a view of the payload.

    Raises ``MalformedFrameError`` if the payload is malformed.
    """
    try:
        numbers = _ORDER.unpack_from(payload)
    except StructError as error:
        raise MalformedFrameError(str(error)) from error
    importance, is_repeatable, is_repeat = numbers[:3]
    left_ms, *lengths = numbers[3:]
    view = memoryview(payload)
    size = _ORDER.size + sum(lengths)
    parts = _split(bytes(view[:size]), _ORDER.size, lengths)
    return RunOrder(
        attempt_id=parts[0],
        target_id=_decode_text(parts[1]),
        kind=_decode_text(parts[2]),
        caller_service=_decode_text(parts[3]),
        importance=importance,
        is_repeatable=is_repeatable,
        is_repeat=is_repeat,
        deadline=now + left_ms / _MS_PER_SECOND,
        method=parts[4],
        request_target=parts[5],
        fields=parts[6],
        body=_body_of(view[size:]),
    )


def _body_of(view: memoryview) -> Buffer:
    """Return a body: a copy, unless it is large."""
    return view if len(view) > _MIN_LARGE_BYTES else bytes(view)


def encode_answer(answer: RunAnswer) -> bytes:
    load = answer.load or _NO_LOAD
    head = _ANSWER.pack(
        _OUTCOMES.index(answer.outcome),
        _REASONS.index(answer.reason),
        min(max(0, answer.retry_after_ms), _MAX_UINT32),
        answer.status,
        len(answer.fields),
        answer.load is not None,
        load.running,
        load.waiting,
        load.limit,
        load.service_ms,
    )
    return b''.join((head, answer.fields, answer.body))


def decode_answer(payload: bytes) -> RunAnswer:
    """Decode an answer; raise ``MalformedFrameError`` if malformed."""
    try:
        numbers = _ANSWER.unpack_from(payload)
    except StructError as error:
        raise MalformedFrameError(str(error)) from error
    outcome, reason, retry_after_ms, status = numbers[:4]
    length, has_load, *load = numbers[4:]
    if outcome >= len(_OUTCOMES) or reason >= len(_REASONS):
        raise MalformedFrameError(
            f'unknown outcome {outcome} or reason {reason}',
        )
    parts = _split(payload, _ANSWER.size, [length])
    return RunAnswer(
        outcome=_OUTCOMES[outcome],
        reason=_REASONS[reason],
        retry_after_ms=retry_after_ms,
        load=_load_report(load) if has_load else None,
        status=status,
        fields=parts[0],
        body=parts[1],
    )


def encode_load(report: TargetLoadReport) -> bytes:
    """Encode a load report."""
    head = _LOAD.pack(
        report.load.running,
        report.load.waiting,
        report.load.limit,
        report.load.service_ms,
        report.share,
        report.sent_per_second,
        report.refused_per_second,
    )
    return head + report.target_id.encode()


def decode_load(payload: bytes) -> TargetLoadReport:
    """Decode a load report; raise ``MalformedFrameError`` if malformed."""
    try:
        numbers = _LOAD.unpack_from(payload)
    except StructError as error:
        raise MalformedFrameError(str(error)) from error
    share, sent, refused = numbers[4:]
    return TargetLoadReport(
        target_id=_decode_text(payload[_LOAD.size :]),
        load=_load_report(list(numbers[:4])),
        share=share,
        sent_per_second=sent,
        refused_per_second=refused,
    )


_NO_LOAD: Final = LoadReport(running=0, waiting=0, limit=0, service_ms=0)


def _load_report(numbers: list[float]) -> LoadReport:
    running, waiting, limit, service_ms = numbers
    return LoadReport(
        running=int(running),
        waiting=int(waiting),
        limit=int(limit),
        service_ms=service_ms,
    )


def _decode_text(part: bytes) -> str:
    try:
        return part.decode()
    except UnicodeDecodeError as error:
        raise MalformedFrameError(str(error)) from error


def _split(
    payload: bytes,
    offset: int,
    lengths: list[int],
) -> list[bytes]:
    """Return the parts of the given lengths, then the rest of the payload."""
    parts: list[bytes] = []
    for length in lengths:
        parts.append(payload[offset : offset + length])
        offset += length
    if offset > len(payload):
        raise MalformedFrameError('a field extends beyond the end of its frame')
    return [*parts, payload[offset:]]
