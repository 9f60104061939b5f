"""JSON encoding of the messages about rules."""

from functools import singledispatch
from types import MappingProxyType
from typing import Any, Final

import orjson
from expression import Error, Ok, Result

from lovageshunt.errors import MalformedRulesError
from lovageshunt.rules._codec import (
    MAX_DOCUMENT_BYTES,
    decode_parts,
    encode_parts,
)
from lovageshunt.rules._messages import (
    ManifestAsked,
    ManifestTold,
    Message,
    PartsAsked,
    PartsTold,
    VersionTold,
)
from lovageshunt.rules._version import Version

_Fields = dict[str, Any]


def encode_message(message: Message) -> bytes:
    """Return a message as compact JSON; ``type`` is its class name."""
    fields = _fields_of(message)
    return orjson.dumps({'type': type(message).__name__, **fields})


def decode_message(raw: bytes) -> Result[Message, MalformedRulesError]:
    """Return the message in ``raw``, or the reason why it is malformed."""
    if len(raw) > MAX_DOCUMENT_BYTES:
        return Error(
            MalformedRulesError(f'larger than {MAX_DOCUMENT_BYTES} bytes')
        )
    try:
        message = _message_of(orjson.loads(raw))
    except (KeyError, TypeError, ValueError) as error:
        return Error(MalformedRulesError(f'{type(error).__name__}: {error}'))
    return Ok(message)


@singledispatch
def _fields_of(message: Any) -> _Fields:
    fields: _Fields = message.as_dict()
    version = fields.get('version')
    if version is not None:
        fields['version'] = version.as_dict()
    return fields


@_fields_of.register
def _parts_fields(message: PartsTold) -> _Fields:
    return {
        'version': message.version.as_dict(),
        'parts': encode_parts(message.parts),
    }


def _message_of(content: object) -> Message:
    if not isinstance(content, dict):
        raise TypeError(f'expected a JSON object, got {type(content).__name__}')
    return _DECODERS[content['type']](content)


def _version_told(fields: _Fields) -> Message:
    version = fields['version']
    return VersionTold(version=None if version is None else _version(version))


def _manifest_asked(fields: _Fields) -> Message:
    return ManifestAsked()


def _manifest_told(fields: _Fields) -> Message:
    return ManifestTold(
        version=_version(fields['version']),
        deployment=_string(fields['deployment']),
        reader=_string(fields['reader']),
        base_digest=_string(fields['base_digest']),
        changed={
            _string(service): _string(digest)
            for service, digest in dict(fields['changed']).items()
        },
        removed=_strings(fields['removed']),
    )


def _parts_asked(fields: _Fields) -> Message:
    return PartsAsked(
        version=_version(fields['version']),
        services=_strings(fields['services']),
    )


def _parts_told(fields: _Fields) -> Message:
    return PartsTold(
        version=_version(fields['version']),
        parts=decode_parts(fields['parts']),
    )


_DECODERS: Final = MappingProxyType(
    {
        'VersionTold': _version_told,
        'ManifestAsked': _manifest_asked,
        'ManifestTold': _manifest_told,
        'PartsAsked': _parts_asked,
        'PartsTold': _parts_told,
    },
)


def _version(fields: _Fields) -> Version:
    return Version(
        generation=_count(fields['generation']),
        revision=_count(fields['revision']),
        digest=_string(fields['digest']),
    )


def _strings(content: object) -> list[str]:
    if not isinstance(content, list):
        raise TypeError(f'expected a list, got {type(content).__name__}')
    return [_string(entry) for entry in content]


def _string(content: object) -> str:
    if not isinstance(content, str):
        raise TypeError(f'expected a string, got {type(content).__name__}')
    return content


def _count(content: object) -> int:
    if type(content) is not int or content < 0:
        raise ValueError('expected a non-negative integer')
    return content
