"""The compressed JSON encoding of the sums over a part of the fleet."""

from collections.abc import Mapping
from typing import Any

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import MalformedFrameError
from lovageshunt.links._compression import compress, decompress
from lovageshunt.pressure import (
    FleetPart,
    KindDemand,
    ServicePart,
    TargetCapacity,
)


def encode_part(part: FleetPart) -> bytes:
    """Encode the sums of a coordinator."""
    return compress(orjson.dumps(part, default=Record.as_dict))


def decode_part(payload: bytes) -> FleetPart:
    """Decode sums; raise ``MalformedFrameError`` if malformed."""
    try:
        fields = orjson.loads(decompress(payload))
        return FleetPart(
            coordinator=str(fields['coordinator']),
            part_by_service={
                service: _service_part(part)
                for service, part in dict(fields['part_by_service']).items()
            },
            retries_by_service=_numbers(fields['retries_by_service']),
            demand_by_kind={
                kind: _kind_demand(demand)
                for kind, demand in dict(fields['demand_by_kind']).items()
            },
            # A coordinator of an earlier build does not send these.
            asked_by_account=_numbers(fields.get('asked_by_account', {})),
            admitted_by_account=_numbers(fields.get('admitted_by_account', {})),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedFrameError(
            f'malformed sums of a part of the fleet: {error!r}',
        ) from error


def _service_part(fields: Mapping[str, Any]) -> ServicePart:
    return ServicePart(
        nodes=int(fields['nodes']),
        rate_by_kind=_numbers(fields['rate_by_kind']),
        capacities=[_capacity(each) for each in fields['capacities']],
    )


def _capacity(fields: Mapping[str, Any]) -> TargetCapacity:
    return TargetCapacity(
        share=float(fields['share']),
        slots=int(fields['slots']),
        sent_per_second=float(fields['sent_per_second']),
        refused_per_second=float(fields['refused_per_second']),
    )


def _kind_demand(fields: Mapping[str, Any]) -> KindDemand:
    return KindDemand(
        node=str(fields['node']),
        service=str(fields['service']),
        seconds=float(fields['seconds']),
        calls_by_kind=_numbers(fields['calls_by_kind']),
    )


def _numbers(fields: Any) -> dict[str, float]:
    if not isinstance(fields, dict):
        raise TypeError(f'expected a JSON object, got {fields!r}')
    return {key: float(number) for key, number in fields.items()}
