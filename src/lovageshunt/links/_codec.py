"""The JSON form of the messages that are not sent for each call."""

from typing import Any

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._messages import DemandReport, Greeting


def encode_message(message: Record) -> bytes:
    """Write a message as a JSON object of its fields."""
    return orjson.dumps(message.as_dict())


def decode_greeting(payload: bytes) -> Greeting:
    """Read a greeting; raises ``MalformedFrameError`` when it is none."""
    fields = _object(payload)
    try:
        return Greeting(**fields)
    except TypeError as error:
        raise MalformedFrameError(str(error)) from error


def decode_demand(payload: bytes) -> DemandReport:
    """Read needs; raises ``MalformedFrameError`` when it is none."""
    fields = _object(payload)
    try:
        return DemandReport(**fields)
    except TypeError as error:
        raise MalformedFrameError(str(error)) from error


def _object(payload: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(payload)
    except orjson.JSONDecodeError as error:
        raise MalformedFrameError(str(error)) from error
    if not isinstance(fields, dict):
        raise MalformedFrameError('no JSON object')
    return fields
