"""Decoding the configuration that operators publish."""

from collections.abc import Iterator
from copy import deepcopy
from typing import Any

import orjson
import pytest
from adapter.configuration import decode_configuration

from lovageshunt.client_accounts import digest_of
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


def with_accounts(*accounts: dict[str, Any]) -> Any:
    fields = published(public=True) | {'tenants': list(accounts)}
    return decode_configuration(orjson.dumps(fields))


ACCOUNT: dict[str, Any] = {
    'name': 'shop',
    'api_keys': ['key-1', 'key-2'],
    'priority': 0,
    'rate_per_s': 20,
    'burst': 5,
}


class TestAccounts:
    """Client accounts in a configuration."""

    def test_reads_every_field(self) -> None:
        """Keys are kept as digests only."""
        found = with_accounts(ACCOUNT)
        account = found.accounts[0]
        assert account.name == 'shop'
        assert account.key_digests == (digest_of(b'key-1'), digest_of(b'key-2'))
        assert account.importance == 0
        assert (account.per_second, account.burst) == (20, 5)
        assert found.routes[0].is_public
        assert 'key-1' not in repr(found)

    def test_reads_what_may_be_left_out(self) -> None:
        """No limit is 0 or no field; the route's importance holds then."""
        bare = {'name': 'shop', 'api_keys': [], 'rate_per_s': 0}
        account = with_accounts(bare).accounts[0]
        assert account.per_second is None
        assert account.importance is None
        assert not decoded().accounts
        assert not decoded().routes[0].is_public

    def test_sends_accounts_to_other_nodes(self) -> None:
        """A node that hears of a configuration from another knows the keys."""
        snapshot = FleetSnapshot(
            revision=1, configuration=with_accounts(ACCOUNT), entries=[]
        )
        encoded = encode_snapshot(snapshot)
        assert decode_snapshot(encoded) == snapshot
        assert b'key-1' not in encoded

    def test_is_read_by_an_earlier_build_without_accounts(self) -> None:
        """Fields that it does not know are not in the frame then."""
        encoded = encode_snapshot(
            FleetSnapshot(revision=1, configuration=decoded(), entries=[])
        )
        assert b'accounts' not in encoded
        assert b'is_public' not in encoded

    @pytest.mark.parametrize(
        'odd',
        [
            {'name': ''},
            {'name': 'a b'},
            {'name': 'a\r\nx: y'},
            {'name': 5},
            {'api_keys': 'secret-7'},
            {'api_keys': ['']},
            {'api_keys': [7]},
            {'api_keys': None},
            {'priority': -1},
            {'priority': 1.5},
            {'rate_per_s': -1},
            {'rate_per_s': True},
            {'burst': 'many'},
        ],
    )
    def test_refuses_odd_fields(self, odd: dict[str, Any]) -> None:
        """The configuration is refused, and no error shows a key."""
        with pytest.raises(MalformedRulesError) as error:
            with_accounts(ACCOUNT | odd)
        assert 'secret-7' not in str(error.value)
        assert 'key-1' not in str(error.value)

    def test_refuses_one_key_of_two_accounts(self) -> None:
        """It would not tell who sent a request."""
        with pytest.raises(MalformedRulesError):
            with_accounts(ACCOUNT, ACCOUNT | {'name': 'other'})
        with pytest.raises(MalformedRulesError):
            with_accounts(ACCOUNT, ACCOUNT | {'api_keys': ['other']})
