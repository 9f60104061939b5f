"""A snapshot of an account, and its encoding for peers."""

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

#: Maximum decompressed size; it bounds the memory of decoding.
MAX_SNAPSHOT_BYTES: Final = 256 * 1024


class Role(StrEnum):
    """Who counts: the node in front of a target, or a caller."""

    NODE = 'node'
    CALLER = 'caller'


#: The identity of an account: role, node and incarnation.
AccountKey = tuple[Role, str, str]


class AccountSnapshot(Record):
    """The cumulative counters of one incarnation at one time.

    They cover the window from ``started_at`` to ``taken_at``, in seconds
    since 1970 on the node's own clock. Of two snapshots of an incarnation,
    the one with the higher ``sequence`` includes all counts of the other.
    ``is_final`` means that no further calls are counted.
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
        """Return role, node and incarnation."""
        return (self.role, self.node, self.incarnation)

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name, omitting counters that are 0."""
        fields = super().as_dict()
        fields['lines'] = [_line_fields(line) for line in self.lines]
        return fields


def encode_snapshot(snapshot: AccountSnapshot) -> bytes:
    """Return the snapshot as a JSON string of its compressed fields.

    The result can be embedded in a larger JSON message unchanged.
    """
    compressed = compress(orjson.dumps(snapshot.as_dict()))
    return orjson.dumps(b64encode(compressed).decode('ascii'))


def decode_snapshot(raw: bytes) -> AccountSnapshot:
    """Return the snapshot encoded by ``encode_snapshot``.

    Raises ``MalformedSnapshotError`` on invalid data or fields.
    """
    try:
        fields = orjson.loads(_decompress(_checked_string(orjson.loads(raw))))
    except (ValueError, ZlibError) as error:
        raise MalformedSnapshotError(str(error)) from error
    return snapshot_from_dict(fields)


def snapshot_from_dict(fields: object) -> AccountSnapshot:
    """Return the snapshot with the fields of its ``as_dict``.

    Raises ``MalformedSnapshotError`` when a field is invalid.
    """
    if not isinstance(fields, dict):
        raise MalformedSnapshotError('expected a JSON object')
    try:
        return _snapshot_of(dict(fields))
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedSnapshotError(str(error)) from error


def _checked_string(encoded: object) -> str:
    if not isinstance(encoded, str):
        raise ValueError('expected a JSON string')
    return encoded


def _decompress(encoded: str) -> bytes:
    decompressor = decompressobj()
    compressed = b64decode(encoded, validate=True)
    decompressed = decompressor.decompress(compressed, MAX_SNAPSHOT_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f'truncated, or longer than {MAX_SNAPSHOT_BYTES} bytes',
        )
    return decompressed


def _snapshot_of(fields: dict[str, Any]) -> AccountSnapshot:
    lines = [_line_of(line) for line in fields.pop('lines', ())]
    role = Role(fields.pop('role', Role.NODE))
    for name in ('node', 'incarnation'):
        if not isinstance(fields[name], str):
            raise ValueError(f'{name} is not a string')
    for name in ('started_at', 'taken_at'):
        fields[name] = float(fields[name])
    _check_count('sequence', fields['sequence'])
    return AccountSnapshot(role=role, lines=lines, **fields)


def _line_of(fields: dict[str, Any]) -> AccountLine:
    line = AccountLine(**fields)
    if not isinstance(line.service + line.kind, str):
        raise TypeError('service and kind must be strings')
    _check_count('importance', line.importance)
    for name in COUNT_FIELDS:
        _check_count(name, getattr(line, name))
    for name in REASON_FIELDS:
        for count in getattr(line, name).values():
            _check_count(name, count)
    return line


def _check_count(name: str, count: object) -> None:
    if isinstance(count, bool) or not isinstance(count, int):
        raise ValueError(f'{name} is not an integer')
    # find_imbalances() reports a negative number of running calls.
    if count < 0 and name != 'running':
        raise ValueError(f'{name} is negative')


def _line_fields(line: AccountLine) -> dict[str, Any]:
    fields = line.as_dict()
    for name in (*COUNT_FIELDS, *REASON_FIELDS):
        if not fields[name]:
            fields.pop(name)
    return fields
