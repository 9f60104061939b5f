"""The JSON encoding of the messages that are not sent with every call."""

from typing import Any, Final

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._messages import (
    DemandReport,
    Greeting,
    LeavingNotice,
    OutageNotice,
    PlatformPulse,
    Subscription,
)

#: Fields of a demand report that an earlier build does not know.
_ACCOUNT_FIELDS: Final = (
    'asked_by_account',
    'admitted_by_account',
    'has_accounts',
)


def encode_message(message: Record) -> bytes:
    """Encode a message as a JSON object of its fields."""
    return orjson.dumps(message.as_dict())


def encode_demand(report: DemandReport) -> bytes:
    """Encode a demand report; without accounts as an earlier build reads it."""
    fields = report.as_dict()
    if not report.has_accounts:
        for name in _ACCOUNT_FIELDS:
            fields.pop(name)
    return orjson.dumps(fields)


def decode_greeting(payload: bytes) -> Greeting:
    """Decode a greeting; raise ``MalformedFrameError`` if malformed."""
    fields = _json_object(payload)
    try:
        return Greeting(**fields)
    except TypeError as error:
        raise MalformedFrameError(str(error)) from error


def decode_demand(payload: bytes) -> DemandReport:
    """Decode a demand report; raise ``MalformedFrameError`` if malformed."""
    fields = _json_object(payload)
    try:
        return DemandReport(**fields)
    except TypeError as error:
        raise MalformedFrameError(str(error)) from error


def decode_leaving(payload: bytes) -> LeavingNotice:
    """Decode a notice; raise ``MalformedFrameError`` if malformed."""
    fields = _json_object(payload)
    try:
        return LeavingNotice(**fields)
    except TypeError as error:
        raise MalformedFrameError(str(error)) from error


def decode_outage(payload: bytes) -> OutageNotice:
    """Decode a notice; raise ``MalformedFrameError`` if malformed."""
    fields = _json_object(payload)
    try:
        return OutageNotice(
            target_id=str(fields['target_id']),
            seconds=float(fields['seconds']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedFrameError(
            f'malformed notice of an outage: {error!r}',
        ) from error


def decode_subscription(payload: bytes) -> Subscription:
    """Decode a subscription; raise ``MalformedFrameError`` if malformed."""
    fields = _json_object(payload)
    try:
        return Subscription(
            position=int(fields['position']),
            version=int(fields['version']),
            wants_changes=bool(fields['wants_changes']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedFrameError(
            f'malformed subscription: {error!r}',
        ) from error


def decode_pulse(payload: bytes) -> PlatformPulse:
    """Decode a pulse; raise ``MalformedFrameError`` if malformed."""
    fields = _json_object(payload)
    try:
        return PlatformPulse(
            position=int(fields['position']),
            version=int(fields['version']),
            age_seconds=max(float(0), float(fields['age_seconds'])),
            is_reader=bool(fields['is_reader']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedFrameError(f'malformed pulse: {error!r}') from error


def _json_object(payload: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(payload)
    except orjson.JSONDecodeError as error:
        raise MalformedFrameError(str(error)) from error
    if not isinstance(fields, dict):
        raise MalformedFrameError('expected a JSON object')
    return fields
