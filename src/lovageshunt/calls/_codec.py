"""Encoding of contexts and answer metadata as one JSON header each."""

import json
from typing import Any, Final

import orjson

from lovageshunt.calls._answer import AnswerInfo, LoadReport
from lovageshunt.calls._context import CallContext, HomeNode
from lovageshunt.calls._importance import LOWEST_IMPORTANCE, RANK_COUNT
from lovageshunt.calls._outcome import Outcome, RefusalReason
from lovageshunt.calls._signing import ContextKey
from lovageshunt.errors import MalformedAnswerError, MalformedContextError

#: The request header that carries a call's context.
CONTEXT_HEADER: Final = 'lovageshunt-context'
#: The response header that carries the control metadata of an answer.
ANSWER_HEADER: Final = 'lovageshunt-answer'
#: A longer header is refused without being parsed.
_MAX_HEADER_BYTES: Final = 4096
#: Maximum value of any count or duration in a context.
_MAX_COUNT: Final = 2**31

_TAG: Final = 'tag'
_TEXT_FIELDS: Final = (
    'request_id',
    'call_id',
    'caller',
    'kind',
    'trace_parent',
)
_COUNT_FIELDS: Final = (
    'importance',
    'rank',
    'timeout_ms',
    'age_ms',
    'attempt',
    'retries_left',
    'suspicion',
)


def encode_context(
    context: CallContext,
    key: ContextKey | None = None,
) -> str:
    """Return the ASCII header value of a context.

    With a key the header includes a tag that other holders can verify.
    """
    fields = context.as_dict()
    if key is not None:
        fields[_TAG] = key.tag(context)
    if context.home is not None:
        fields['home'] = context.home.as_dict()
    return _encode_fields(fields)


def decode_context(header: str | bytes) -> CallContext:
    """Return the context in a header without verifying its tag.

    Raises ``MalformedContextError`` when the header cannot be decoded or a
    field is out of range.
    """
    return _decode_tagged(header)[0]


def decode_and_verify_context(
    header: str | bytes,
    key: ContextKey | None,
) -> tuple[CallContext, bool]:
    """Return the context, and whether its importance is trusted.

    It is trusted when its tag is valid, or always if ``key`` is ``None``.
    Raises ``MalformedContextError`` like ``decode_context``.
    """
    context, tag = _decode_tagged(header)
    return context, key is None or key.verify(tag, context)


def _decode_tagged(header: str | bytes) -> tuple[CallContext, str]:
    try:
        fields = _decode_fields(header)
    except ValueError as error:
        raise MalformedContextError(str(error)) from error
    for name in (*_TEXT_FIELDS, _TAG):
        if not isinstance(fields.get(name, ''), str):
            raise MalformedContextError(f'{name} is not a string')
    for name in _COUNT_FIELDS:
        _check_count(name, fields.get(name, 0))
    _check_level_range(fields)
    tag = fields.pop(_TAG, '')
    try:
        return _context_of(fields), tag
    except TypeError as error:
        raise MalformedContextError(str(error)) from error


def encode_answer(info: AnswerInfo) -> str:
    """Return the ASCII header value of an answer's control metadata."""
    fields = info.as_dict()
    if info.load is not None:
        fields['load'] = info.load.as_dict()
    if info.home is not None:
        fields['home'] = info.home.as_dict()
    return _encode_fields(fields)


def decode_answer(header: str | bytes, call_id: str) -> AnswerInfo:
    """Return the control metadata of the answer to one call.

    Raises ``MalformedAnswerError`` when the header cannot be decoded or
    belongs to another call.
    """
    try:
        info = _answer_of(_decode_fields(header))
    except (TypeError, ValueError) as error:
        raise MalformedAnswerError(str(error)) from error
    if info.call_id != call_id:
        raise MalformedAnswerError(
            f'expected call {call_id!r}, got {info.call_id!r}',
        )
    return info


def _context_of(fields: dict[str, Any]) -> CallContext:
    home = fields.pop('home', None)
    if home is not None:
        home = HomeNode(**home)
    return CallContext(home=home, **fields)


def _answer_of(fields: dict[str, Any]) -> AnswerInfo:
    load = fields.pop('load', None)
    reason = fields.pop('reason', None)
    home = fields.pop('home', None)
    return AnswerInfo(
        home=None if home is None else HomeNode(**home),
        outcome=Outcome(fields.pop('outcome', '')),
        reason=None if reason is None else RefusalReason(reason),
        load=None if load is None else LoadReport(**load),
        **fields,
    )


def _check_count(name: str, count: object) -> None:
    if isinstance(count, bool) or not isinstance(count, int):
        raise MalformedContextError(f'{name} is not an integer')
    if not 0 <= count <= _MAX_COUNT:
        raise MalformedContextError(f'{name} is out of range 0 to {_MAX_COUNT}')


def _check_level_range(fields: dict[str, Any]) -> None:
    if fields.get('importance', 0) > LOWEST_IMPORTANCE:
        raise MalformedContextError(f'importance is above {LOWEST_IMPORTANCE}')
    if fields.get('rank', 0) >= RANK_COUNT:
        raise MalformedContextError(f'rank is not below {RANK_COUNT}')


def _encode_fields(fields: dict[str, Any]) -> str:
    dumped = orjson.dumps(fields).decode('utf-8')
    if dumped.isascii():
        return dumped
    # Names in rules may contain any Unicode characters; headers are ASCII.
    return json.dumps(fields)


def _decode_fields(header: str | bytes) -> dict[str, Any]:
    if len(header) > _MAX_HEADER_BYTES:
        raise ValueError(f'longer than {_MAX_HEADER_BYTES} bytes')
    fields = orjson.loads(header)
    if not isinstance(fields, dict):
        raise ValueError('expected a JSON object')
    return fields
