"""Snapshots of the fleet, for nodes that cannot reach the platform."""

from typing import Any

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedFrameError
from lovageshunt.routes import (
    Configuration,
    Destination,
    Route,
    ServiceLimits,
)
from lovageshunt.sidecar._fleet import TargetEntry


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
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedFrameError(
            f'malformed fleet snapshot: {error}',
        ) from error


def _fields_of(record: Any) -> Any:
    if isinstance(record, Record):
        return record.as_dict()
    raise TypeError(type(record).__name__)


def _configuration(fields: dict[str, Any]) -> Configuration:
    routes = tuple(_route(route) for route in fields.pop('routes'))
    limits = {
        service: ServiceLimits(**limit)
        for service, limit in fields.pop('limits_by_service').items()
    }
    return Configuration(routes=routes, limits_by_service=limits, **fields)


def _route(fields: dict[str, Any]) -> Route:
    destinations = tuple(
        Destination(**each) for each in fields.pop('destinations')
    )
    return Route(destinations=destinations, **fields)
