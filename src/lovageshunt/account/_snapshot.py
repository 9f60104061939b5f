"""An account at one moment, and its wire form."""

from base64 import b64decode, b64encode
from enum import StrEnum
from typing import Any, Final
from zlib import compress, decompressobj
from zlib import error as ZlibError

import orjson

from lovageshunt._record import Record
from lovageshunt.account._line import (
    COUNT_FIELDS,
    REASON_FIELDS,
    AccountLine,
)
from lovageshunt.errors import MalformedSnapshotError

#: A snapshot that unpacks to more than this is refused.
MAX_SNAPSHOT_BYTES: Final = 256 * 1024


class Role(StrEnum):
    """Who keeps an account: the node beside a target, or a caller."""

    NODE = 'node'
    CALLER = 'caller'


#: What names an account: role, node and incarnation.
AccountKey = tuple[Role, str, str]


class AccountSnapshot(Record):
    """The cumulative counters of one incarnation at one moment.

    They cover the time from ``started_at`` to ``taken_at``, in seconds of
    the node's own clock. Of two snapshots of one incarnation the one with
    the higher ``sequence`` holds all that the other does.
    """

    __slots__ = (
        'node',
        'incarnation',
        'role',
        'sequence',
        'started_at',
        'taken_at',
        'is_final',
        'lines',
    )

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        sequence: int,
        started_at: float,
        taken_at: float,
        role: Role = Role.NODE,
        is_final: bool = False,
        lines: list[AccountLine] | None = None,
    ) -> None:
        """Take the account's name, window and lines."""
        self.node = node
        self.incarnation = incarnation
        self.role = role
        self.sequence = sequence
        self.started_at = started_at
        self.taken_at = taken_at
        self.is_final = is_final
        self.lines = lines or []

    @property
    def account_key(self) -> AccountKey:
        """Return whose account this is."""
        return (self.role, self.node, self.incarnation)

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name; counters that are 0 are left out."""
        fields = super().as_dict()
        fields['lines'] = [_line_fields(line) for line in self.lines]
        return fields


def encode_snapshot(snapshot: AccountSnapshot) -> bytes:
    """Return the snapshot's wire form, for peers.

    It is packed, and itself JSON (one string), so that it can stand in a
    larger message as it is.
    """
    packed = compress(orjson.dumps(snapshot.as_dict()))
    return orjson.dumps(b64encode(packed).decode('ascii'))


def decode_snapshot(raw: bytes) -> AccountSnapshot:
    """Return the snapshot in what ``encode_snapshot`` made.

    Raises ``MalformedSnapshotError`` when it is none.
    """
    try:
        fields = orjson.loads(_unpack(_text(orjson.loads(raw))))
    except (ValueError, ZlibError) as error:
        raise MalformedSnapshotError(str(error)) from error
    return snapshot_from_dict(fields)


def snapshot_from_dict(fields: object) -> AccountSnapshot:
    """Return the snapshot whose ``as_dict`` gave these fields.

    Raises ``MalformedSnapshotError`` when there is none.
    """
    if not isinstance(fields, dict):
        raise MalformedSnapshotError('no JSON object')
    try:
        return _snapshot_of(dict(fields))
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedSnapshotError(str(error)) from error


def _text(wire: object) -> str:
    if not isinstance(wire, str):
        raise ValueError('no JSON string')
    return wire


def _unpack(wire: str) -> bytes:
    unpacker = decompressobj()
    packed = b64decode(wire, validate=True)
    unpacked = unpacker.decompress(packed, MAX_SNAPSHOT_BYTES)
    if not unpacker.eof:
        raise ValueError(f'cut, or longer than {MAX_SNAPSHOT_BYTES} bytes')
    return unpacked


def _snapshot_of(fields: dict[str, Any]) -> AccountSnapshot:
    lines = [_line_of(line) for line in fields.pop('lines', ())]
    role = Role(fields.pop('role', Role.NODE))
    for name in ('node', 'incarnation'):
        if not isinstance(fields[name], str):
            raise ValueError(f'{name} is no text')
    for name in ('started_at', 'taken_at'):
        fields[name] = float(fields[name])
    _check_count('sequence', fields['sequence'])
    return AccountSnapshot(role=role, lines=lines, **fields)


def _line_of(fields: dict[str, Any]) -> AccountLine:
    line = AccountLine(**fields)
    if not isinstance(line.service + line.kind, str):
        raise TypeError('service and kind are text')
    _check_count('importance', line.importance)
    for name in COUNT_FIELDS:
        _check_count(name, getattr(line, name))
    for name in REASON_FIELDS:
        for count in getattr(line, name).values():
            _check_count(name, count)
    return line


def _check_count(name: str, count: object) -> None:
    if isinstance(count, bool) or not isinstance(count, int):
        raise ValueError(f'{name} is no whole number')
    # A negative count of running calls is a fault that balance() reports.
    if count < 0 and name != 'running':
        raise ValueError(f'{name} is negative')


def _line_fields(line: AccountLine) -> dict[str, Any]:
    fields = line.as_dict()
    for name in (*COUNT_FIELDS, *REASON_FIELDS):
        if not fields[name]:
            fields.pop(name)
    return fields
