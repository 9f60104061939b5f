"""The JSON form of what nodes tell each other about rules."""

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
    """Return a message as compact JSON."""
    fields = _fields_of(message)
    return orjson.dumps({'type': type(message).__name__, **fields})


def decode_message(raw: bytes) -> Result[Message, MalformedRulesError]:
    """Return the message in ``raw``, or why it is none."""
    if len(raw) > MAX_DOCUMENT_BYTES:
        return Error(MalformedRulesError(f'over {MAX_DOCUMENT_BYTES} bytes'))
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
        raise TypeError('a JSON object was expected')
    return _READERS[content['type']](content)


def _version_told(fields: _Fields) -> Message:
    version = fields['version']
    return VersionTold(version=None if version is None else _version(version))


def _manifest_asked(fields: _Fields) -> Message:
    return ManifestAsked()


def _manifest_told(fields: _Fields) -> Message:
    return ManifestTold(
        version=_version(fields['version']),
        deployment=_text(fields['deployment']),
        reader=_text(fields['reader']),
        base_digest=_text(fields['base_digest']),
        changed={
            _text(service): _text(digest)
            for service, digest in dict(fields['changed']).items()
        },
        removed=_texts(fields['removed']),
    )


def _parts_asked(fields: _Fields) -> Message:
    return PartsAsked(
        version=_version(fields['version']),
        services=_texts(fields['services']),
    )


def _parts_told(fields: _Fields) -> Message:
    return PartsTold(
        version=_version(fields['version']),
        parts=decode_parts(fields['parts']),
    )


_READERS: Final = MappingProxyType(
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
        digest=_text(fields['digest']),
    )


def _texts(content: object) -> list[str]:
    if not isinstance(content, list):
        raise TypeError('a list was expected')
    return [_text(entry) for entry in content]


def _text(content: object) -> str:
    if not isinstance(content, str):
        raise TypeError('text was expected')
    return content


def _count(content: object) -> int:
    if type(content) is not int or content < 0:
        raise ValueError('a whole number from 0 was expected')
    return content
