"""The wire form of contexts and answers: one compact JSON header each."""

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
#: The response header that carries the control part of an answer.
ANSWER_HEADER: Final = 'lovageshunt-answer'
#: A header longer than this is refused unread.
_MAX_HEADER_BYTES: Final = 4096
#: No counter on the wire may be larger.
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
    """Return the header's value for a context; all of it is ASCII.

    With a key it carries a tag, by which other holders know it.
    """
    fields = context.as_dict()
    if key is not None:
        fields[_TAG] = key.tag(context)
    if context.home is not None:
        fields['home'] = context.home.as_dict()
    return _dump(fields)


def decode_context(header: str | bytes) -> CallContext:
    """Return the context in a header, whoever made it.

    Raises ``MalformedContextError`` when it is no context or a field is out
    of its range.
    """
    return _decode(header)[0]


def decode_and_verify_context(
    header: str | bytes,
    key: ContextKey | None,
) -> tuple[CallContext, bool]:
    """Return the context, and whether its importance may be believed.

    Without a key every context is believed. Raises as ``decode_context``.
    """
    context, tag = _decode(header)
    return context, key is None or key.has_made(tag, context)


def _decode(header: str | bytes) -> tuple[CallContext, str]:
    try:
        fields = _load(header)
    except ValueError as error:
        raise MalformedContextError(str(error)) from error
    for name in (*_TEXT_FIELDS, _TAG):
        if not isinstance(fields.get(name, ''), str):
            raise MalformedContextError(f'{name} is no text')
    for name in _COUNT_FIELDS:
        _check_count(name, fields.get(name, 0))
    _check_level(fields)
    tag = fields.pop(_TAG, '')
    try:
        return _context_of(fields), tag
    except TypeError as error:
        raise MalformedContextError(str(error)) from error


def encode_answer(info: AnswerInfo) -> str:
    """Return the header's value for the control part of an answer."""
    fields = info.as_dict()
    if info.load is not None:
        fields['load'] = info.load.as_dict()
    if info.home is not None:
        fields['home'] = info.home.as_dict()
    return _dump(fields)


def decode_answer(header: str | bytes, call_id: str) -> AnswerInfo:
    """Return the control part of the answer to one call.

    Raises ``MalformedAnswerError`` when it is none, or another call's.
    """
    try:
        info = _answer_of(_load(header))
    except (TypeError, ValueError) as error:
        raise MalformedAnswerError(str(error)) from error
    if info.call_id != call_id:
        raise MalformedAnswerError(
            f'it answers call {info.call_id!r}, not {call_id!r}',
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
        raise MalformedContextError(f'{name} is no whole number')
    if not 0 <= count <= _MAX_COUNT:
        raise MalformedContextError(f'{name} is out of range')


def _check_level(fields: dict[str, Any]) -> None:
    if fields.get('importance', 0) > LOWEST_IMPORTANCE:
        raise MalformedContextError('importance is out of range')
    if fields.get('rank', 0) >= RANK_COUNT:
        raise MalformedContextError('rank is out of range')


def _dump(fields: dict[str, Any]) -> str:
    dumped = orjson.dumps(fields).decode('utf-8')
    if dumped.isascii():
        return dumped
    # Names in rules may be in any script, and headers are ASCII.
    return json.dumps(fields)


def _load(header: str | bytes) -> dict[str, Any]:
    if len(header) > _MAX_HEADER_BYTES:
        raise ValueError(f'longer than {_MAX_HEADER_BYTES} bytes')
    fields = orjson.loads(header)
    if not isinstance(fields, dict):
        raise ValueError('no JSON object')
    return fields
