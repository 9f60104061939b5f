"""Entries that another writer left among those of the targets."""

from typing import Final

import orjson

from tests.platform.entry import ENTRY

#: Depths around the limits of the JSON decoder and of the interpreter.
_DEPTHS: Final = (2, 300, 960, 990, 1000, 1015, 1023, 1024, 5000)
_ODD_VALUES: Final = (
    'null',
    'true',
    '{}',
    '[]',
    '-1',
    '1e300',
    '1e999',
    '-1e300',
    '9007199254740992',
    '9223372036854775808',
    '18446744073709551615',
    '1' + '0' * 30,
    '1' + '0' * 5000,
    r'"\u0000"',
    r'"a\r\nb: c"',
    '"' + 'x' * 300_000 + '"',
)
_ODD_ADDRESSES: Final = (
    '',
    ':',
    ':80',
    'host',
    'host:',
    'host:0',
    'host:-1',
    'host:65536',
    'host:99999999999',
    'host:' + '9' * 30,
    'host:' + '9' * 4000,
    'host:' + '9' * 5000,
    'host: 80',
    'host:８０',
    'host:1_0',
    'host:80:',
    'a b:80',
    'a\x00b:80',
    'a\r\nb:80',
    '.:80',
    'a..b:80',
    'x' * 64 + '.example:80',
    'ü' * 70 + ':80',
    'x' * 300_000 + ':80',
)
ODD_IDS: Final = ('', 'i 1', 'i\r\nx: y', 'i\x00', 'ü', 'i' * 201)


def odd_entries() -> list[bytes]:
    """Return an entry for each field and each kind of odd value."""
    values = [
        *_ODD_VALUES,
        *('[' * depth + ']' * depth for depth in _DEPTHS),
        *('{"a":' * depth + '1' + '}' * depth for depth in _DEPTHS),
    ]
    return [
        *(_with_field(field, value) for field in ENTRY for value in values),
        *(orjson.dumps(ENTRY | {'address': each}) for each in _ODD_ADDRESSES),
        *(value.encode() for value in values),
        *(_with_field('more', value) for value in values),
        b'\xff\xfe',
        b'',
    ]


def _with_field(field: str, value: str) -> bytes:
    fields = {
        name: orjson.dumps(found).decode() for name, found in ENTRY.items()
    }
    fields[field] = value
    pairs = (f'"{name}":{text}' for name, text in fields.items())
    return ('{' + ','.join(pairs) + '}').encode()
