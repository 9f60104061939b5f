"""The wire form of what nodes tell one another.

A frame is its length (4 bytes, without itself), its kind (1 byte), a stream
number (4 bytes) and a payload. Numbers are in network order.
"""

from enum import IntEnum
from struct import Struct
from struct import error as StructError
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._messages import RunAnswer, RunOrder, TargetLoadReport

_PREFIX: Final = Struct('!IBI')
_LENGTH_SIZE: Final = 4
#: The largest frame, in bytes: a whole body and its head.
_MOST_FRAME_BYTES: Final = 80 * 1024 * 1024
#: Order: importance, whether repeatable, whether a repeat, ms left, and seven
#: lengths.
_ORDER: Final = Struct('!B??I5H2I')
#: Answer: outcome, reason, ms to come back, status, length of the fields,
#: whether a load follows, running, waiting, limit, ms of service.
_ANSWER: Final = Struct('!BBIHI?IIIf')
#: Load: running, waiting, limit, ms of service, share, calls sent and refused
#: a second; the id follows.
_LOAD: Final = Struct('!IIIffff')
_OUTCOMES: Final = tuple(Outcome)
_REASONS: Final = (None, *RefusalReason)
_MS_PER_SECOND: Final = 1000
_MOST_UINT: Final = 2**32 - 1


class FrameKind(IntEnum):
    """The kinds of frames; a reader passes over kinds that it ignores."""

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


class Frame(Record):
    """One frame; ``stream`` numbers the call that it belongs to, or is 0."""

    __slots__ = ('kind', 'stream', 'payload')

    def __init__(self, *, kind: int, stream: int, payload: bytes) -> None:
        """Take every field by name."""
        self.kind = kind
        self.stream = stream
        self.payload = payload


class FrameReader:
    """Cuts a stream of bytes into frames."""

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        """Begin with nothing read."""
        self._buffer = b''

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are now whole.

        Raises ``MalformedFrameError`` for a length out of bounds.
        """
        buffer = self._buffer + received if self._buffer else received
        frames: list[Frame] = []
        at = 0
        while len(buffer) - at >= _PREFIX.size:
            length, kind, stream = _PREFIX.unpack_from(buffer, at)
            if not _PREFIX.size - _LENGTH_SIZE <= length <= _MOST_FRAME_BYTES:
                raise MalformedFrameError(f'a frame of {length} bytes')
            end = at + _LENGTH_SIZE + length
            if len(buffer) < end:
                break
            payload = buffer[at + _PREFIX.size : end]
            frames.append(Frame(kind=kind, stream=stream, payload=payload))
            at = end
        self._buffer = buffer[at:]
        return frames


def encode_frame(kind: FrameKind, stream: int, payload: bytes = b'') -> bytes:
    """Write one frame."""
    length = len(payload) + _PREFIX.size - _LENGTH_SIZE
    return _PREFIX.pack(length, kind, stream) + payload


def encode_order(order: RunOrder, now: float) -> bytes:
    """Write an order; the time left is counted from ``now``."""
    target_id = order.target_id.encode()
    kind = order.kind.encode()
    caller = order.caller_service.encode()
    left = max(0, round((order.deadline - now) * _MS_PER_SECOND))
    head = _ORDER.pack(
        order.importance,
        order.is_repeatable,
        order.is_repeat,
        min(left, _MOST_UINT),
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
            order.body,
        ),
    )


def decode_order(payload: bytes, now: float) -> RunOrder:
    """Read an order; raises ``MalformedFrameError`` when it is none."""
    try:
        numbers = _ORDER.unpack_from(payload)
    except StructError as error:
        raise MalformedFrameError(str(error)) from error
    importance, is_repeatable, is_repeat = numbers[:3]
    left_ms, *lengths = numbers[3:]
    parts = _cut(payload, _ORDER.size, lengths)
    return RunOrder(
        attempt_id=parts[0],
        target_id=_text(parts[1]),
        kind=_text(parts[2]),
        caller_service=_text(parts[3]),
        importance=importance,
        is_repeatable=is_repeatable,
        is_repeat=is_repeat,
        deadline=now + left_ms / _MS_PER_SECOND,
        method=parts[4],
        request_target=parts[5],
        fields=parts[6],
        body=parts[7],
    )


def encode_answer(answer: RunAnswer) -> bytes:
    """Write an answer."""
    load = answer.load or _NO_LOAD
    head = _ANSWER.pack(
        _OUTCOMES.index(answer.outcome),
        _REASONS.index(answer.reason),
        min(max(0, answer.retry_after_ms), _MOST_UINT),
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
    """Read an answer; raises ``MalformedFrameError`` when it is none."""
    try:
        numbers = _ANSWER.unpack_from(payload)
    except StructError as error:
        raise MalformedFrameError(str(error)) from error
    outcome, reason, retry_after_ms, status = numbers[:4]
    length, has_load, *load = numbers[4:]
    if outcome >= len(_OUTCOMES) or reason >= len(_REASONS):
        raise MalformedFrameError(f'outcome {outcome}, reason {reason}')
    parts = _cut(payload, _ANSWER.size, [length])
    return RunAnswer(
        outcome=_OUTCOMES[outcome],
        reason=_REASONS[reason],
        retry_after_ms=retry_after_ms,
        load=_load_of(load) if has_load else None,
        status=status,
        fields=parts[0],
        body=parts[1],
    )


def encode_load(news: TargetLoadReport) -> bytes:
    """Write a target's load."""
    head = _LOAD.pack(
        news.load.running,
        news.load.waiting,
        news.load.limit,
        news.load.service_ms,
        news.share,
        news.sent_per_second,
        news.refused_per_second,
    )
    return head + news.target_id.encode()


def decode_load(payload: bytes) -> TargetLoadReport:
    """Read a target's load; raises ``MalformedFrameError`` if it is none."""
    try:
        numbers = _LOAD.unpack_from(payload)
    except StructError as error:
        raise MalformedFrameError(str(error)) from error
    share, sent, refused = numbers[4:]
    return TargetLoadReport(
        target_id=_text(payload[_LOAD.size :]),
        load=_load_of(list(numbers[:4])),
        share=share,
        sent_per_second=sent,
        refused_per_second=refused,
    )


_NO_LOAD: Final = LoadReport(running=0, waiting=0, limit=0, service_ms=0)


def _load_of(numbers: list[float]) -> LoadReport:
    running, waiting, limit, service_ms = numbers
    return LoadReport(
        running=int(running),
        waiting=int(waiting),
        limit=int(limit),
        service_ms=service_ms,
    )


def _text(part: bytes) -> str:
    try:
        return part.decode()
    except UnicodeDecodeError as error:
        raise MalformedFrameError(str(error)) from error


def _cut(
    payload: bytes,
    at: int,
    lengths: list[int],
) -> list[bytes]:
    """Return the parts of the given lengths, then what follows them."""
    parts: list[bytes] = []
    for length in lengths:
        parts.append(payload[at : at + length])
        at += length
    if at > len(payload):
        raise MalformedFrameError('a part is longer than its frame')
    return [*parts, payload[at:]]
