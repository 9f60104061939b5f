"""The state of the fleet and its changes, as nodes exchange them."""

from typing import Any, Final

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links import compress, decompress
from lovageshunt.routes import (
    ClientAccount,
    Configuration,
    Destination,
    Route,
    ServiceLimits,
)
from lovageshunt.sidecar._fleet import TargetEntry

#: What decoded JSON of another shape than expected raises.
_MALFORMED: Final = (AttributeError, LookupError, TypeError, ValueError)
#: Fields that a node of an earlier build does not know; they are left out if
#: they are false or empty, so that it reads what it can act on.
_LATER_FIELDS: Final = ('accounts', 'is_public')


class FleetSnapshot(Record):
    """A configuration and the targets, as of a revision of the platform.

    The field names are the keys of the JSON that nodes exchange.
    """

    __slots__ = ('revision', 'configuration', 'entries')

    def __init__(
        self,
        *,
        revision: int,
        configuration: Configuration | None,
        entries: list[TargetEntry],
    ) -> None:
        self.revision = revision
        self.configuration = configuration
        self.entries = entries


class FleetChanges(Record):
    """What changed between two positions of the platform.

    ``configuration`` is ``None`` if it did not change. ``entries`` were added
    or changed, ``removed_ids`` are the targets that are gone.
    """

    __slots__ = (
        'after_position',
        'position',
        'configuration',
        'entries',
        'removed_ids',
    )

    def __init__(
        self,
        *,
        after_position: int,
        position: int,
        configuration: Configuration | None,
        entries: list[TargetEntry],
        removed_ids: list[str],
    ) -> None:
        self.after_position = after_position
        self.position = position
        self.configuration = configuration
        self.entries = entries
        self.removed_ids = removed_ids

    @property
    def is_empty(self) -> bool:
        """Whether neither the configuration nor a target has changed."""
        has_targets = bool(self.entries or self.removed_ids)
        return self.configuration is None and not has_targets

    @classmethod
    def between(
        cls, before: FleetSnapshot, after: FleetSnapshot
    ) -> 'FleetChanges':
        """Return what changed from one state to a later one."""
        entry_by_id = {entry.target_id: entry for entry in before.entries}
        listed = {entry.target_id for entry in after.entries}
        is_same = before.configuration is after.configuration
        return cls(
            after_position=before.revision,
            position=after.revision,
            configuration=None if is_same else after.configuration,
            entries=[
                entry
                for entry in after.entries
                if entry_by_id.get(entry.target_id) != entry
            ],
            removed_ids=sorted(entry_by_id.keys() - listed),
        )


def encode_changes(changes: FleetChanges) -> bytes:
    """Encode changes as compressed JSON."""
    encoded = orjson.dumps(changes, default=_fields_of)
    return compress(encoded)


def decode_changes(payload: bytes) -> FleetChanges:
    """Decode changes; raise ``MalformedFrameError`` if malformed."""
    try:
        fields = orjson.loads(decompress(payload))
        configuration = fields['configuration']
        return FleetChanges(
            after_position=int(fields['after_position']),
            position=int(fields['position']),
            configuration=configuration and _configuration(configuration),
            entries=[TargetEntry(**entry) for entry in fields['entries']],
            removed_ids=[str(each) for each in fields['removed_ids']],
        )
    except _MALFORMED as error:
        raise MalformedFrameError(
            f'malformed changes of the fleet: {error}',
        ) from error


def encode_snapshot(snapshot: FleetSnapshot) -> bytes:
    """Encode a snapshot as JSON."""
    return orjson.dumps(snapshot, default=_fields_of)


def decode_snapshot(payload: bytes) -> FleetSnapshot:
    """Decode a snapshot; raise ``MalformedFrameError`` if malformed."""
    try:
        fields = orjson.loads(payload)
        configuration = fields['configuration']
        return FleetSnapshot(
            revision=int(fields['revision']),
            configuration=configuration and _configuration(configuration),
            entries=[TargetEntry(**entry) for entry in fields['entries']],
        )
    except _MALFORMED as error:
        raise MalformedFrameError(
            f'malformed fleet snapshot: {error}',
        ) from error


def _fields_of(record: Any) -> Any:
    if isinstance(record, Record):
        fields = record.as_dict()
        for name in _LATER_FIELDS:
            if not fields.get(name, True):
                fields.pop(name)
        return fields
    raise TypeError(type(record).__name__)


def _configuration(fields: dict[str, Any]) -> Configuration:
    routes = tuple(_route(route) for route in fields.pop('routes'))
    limits = {
        service: ServiceLimits(**limit)
        for service, limit in fields.pop('limits_by_service').items()
    }
    accounts = tuple(_account(each) for each in fields.pop('accounts', ()))
    return Configuration(
        routes=routes, limits_by_service=limits, accounts=accounts, **fields
    )


def _account(fields: dict[str, Any]) -> ClientAccount:
    digests = tuple(str(digest) for digest in fields.pop('key_digests'))
    return ClientAccount(key_digests=digests, **fields)


def _route(fields: dict[str, Any]) -> Route:
    destinations = tuple(
        Destination(**each) for each in fields.pop('destinations')
    )
    return Route(destinations=destinations, **fields)
