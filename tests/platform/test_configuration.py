"""Decoding the configuration that operators publish."""

from collections.abc import Iterator
from copy import deepcopy
from typing import Any

import orjson
import pytest
from adapter.configuration import decode_configuration

from lovageshunt.errors import MalformedRulesError
from lovageshunt.routes import RouteTable
from lovageshunt.sidecar._snapshot import (
    FleetSnapshot,
    decode_snapshot,
    encode_snapshot,
)


def published(**changes: Any) -> dict[str, Any]:
    rule = {
        'name': 'r-1',
        'route_type': 'idempotent',
        'target_latency_s': 1.2,
        'priority': 2,
        'match': {'prefix': '/a/'},
        'action': {'service': 's1', 'timeout_s': 5, 'max_attempts': 2},
        'not_known_here': True,
    }
    return {
        'version': '0000000c',
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'listeners': [{'host': 'H.example', 'rule_set': [rule | changes]}],
        'clusters': [{'name': 's1', 'max_connections': 20}],
    }


def decoded(**changes: Any) -> Any:
    return decode_configuration(orjson.dumps(published(**changes)))


def nested(depth: int) -> Any:
    inner: Any = 1
    for _ in range(depth):
        inner = [inner]
    return inner


_ODD: tuple[Any, ...] = (
    None,
    True,
    -1,
    2**63,
    2**64 - 1,
    1e300,
    'x' * 5000,
    '9' * 5000,
    {},
    [],
    [[1]],
    {'a': 1},
    nested(200),
)


def replaced(fields: Any, odd: Any) -> Iterator[Any]:
    """Yield copies of a JSON value, with one part of each replaced."""
    yield odd
    keys = fields.keys() if isinstance(fields, dict) else ()
    if isinstance(fields, list):
        keys = range(len(fields))
    for key in keys:
        for part in replaced(fields[key], odd):
            changed = deepcopy(fields)
            changed[key] = part
            yield changed


class TestDecodeConfiguration:
    """The published fields become routes and limits."""

    def test_reads_every_field(self) -> None:
        """Routes, limits and the version are read."""
        configuration = decoded()
        route = configuration.routes[0]
        assert configuration.version == 12
        assert (route.host, route.prefix) == ('h.example', '/a/')
        assert route.is_repeatable
        assert (route.importance, route.most_attempts) == (2, 2)
        assert (route.timeout_seconds, route.aim_seconds) == (5, 1.2)
        assert configuration.limits_by_service['s1'].connections == 20
        assert configuration.idle_seconds == 15

    def test_reads_a_split(self) -> None:
        """A traffic split keeps its services and weights."""
        parts = [
            {'service': 's1', 'weight': 90},
            {'service': 's2', 'weight': 10},
        ]
        action = {'traffic_split': parts, 'timeout_s': 1, 'max_attempts': 1}
        found = decoded(action=action).routes[0].destinations
        assert [(each.service, each.weight) for each in found] == [
            ('s1', 90),
            ('s2', 10),
        ]

    def test_treats_other_types_as_unrepeatable(self) -> None:
        """Only routes declared idempotent may run more than once."""
        assert not decoded(route_type='non_idempotent').routes[0].is_repeatable
        assert not decoded(route_type='new').routes[0].is_repeatable

    @pytest.mark.parametrize(
        'raw',
        [b'', b'[]', b'{}', b'{"version": "x"}', b'\xff'],
    )
    def test_refuses_malformed_values(self, raw: bytes) -> None:
        """A malformed value raises ``MalformedRulesError``."""
        with pytest.raises(MalformedRulesError):
            decode_configuration(raw)

    def test_refuses_odd_values_in_every_place(self) -> None:
        """Guards against nodes that stop following by one configuration.

        What is accepted can be put into force and sent to other nodes.
        """
        refused = 0
        for odd in _ODD:
            for fields in replaced(published(), odd):
                try:
                    found = decode_configuration(orjson.dumps(fields))
                except MalformedRulesError as error:
                    refused += 1
                    assert len(str(error)) < 600
                    continue
                assert RouteTable.of(found).find('h.example', '/x') is None
                snapshot = FleetSnapshot(
                    revision=1, configuration=found, entries=[]
                )
                assert decode_snapshot(encode_snapshot(snapshot)) == snapshot
        assert refused > len(_ODD)

    @pytest.mark.parametrize('missing', ['name', 'route_type', 'match'])
    def test_refuses_a_route_without_a_field(self, missing: str) -> None:
        """Guards against a route whose kind or place is guessed."""
        fields = published()
        fields['listeners'][0]['rule_set'][0].pop(missing)
        with pytest.raises(MalformedRulesError):
            decode_configuration(orjson.dumps(fields))

    def test_refuses_an_incomplete_route(self) -> None:
        """One bad route rejects all, so that no part comes into force."""
        with pytest.raises(MalformedRulesError):
            decoded(action={'service': 's1'})
