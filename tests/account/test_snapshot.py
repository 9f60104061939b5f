"""Tests of encoding and decoding snapshots."""

from base64 import b64encode
from types import MappingProxyType
from zlib import compress

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.account import (
    AccountSnapshot,
    decode_snapshot,
    encode_snapshot,
    snapshot_from_dict,
)
from lovageshunt.errors import MalformedSnapshotError
from tests.account.strategies import SNAPSHOTS

FIELDS = MappingProxyType(
    {
        'node': 'n1',
        'incarnation': 'a',
        'sequence': 1,
        'started_at': 0,
        'taken_at': 1,
    },
)


def compressed_json(raw):
    """Return bytes compressed and encoded like a snapshot."""
    return orjson.dumps(b64encode(compress(raw)).decode())


class TestDecodeSnapshot:
    """Decoding of snapshots."""

    @given(snapshot=SNAPSHOTS)
    def test_round_trip(self, snapshot):
        """A snapshot is unchanged by encoding and decoding."""
        assert decode_snapshot(encode_snapshot(snapshot)) == snapshot

    @given(snapshot=SNAPSHOTS)
    def test_wire_form_may_stand_in_a_message(self, snapshot):
        """The encoding is JSON and may be parsed and written again."""
        raw = encode_snapshot(snapshot)
        message = orjson.dumps({'accounts': [orjson.Fragment(raw)]})

        relayed = orjson.dumps(orjson.loads(message)['accounts'][0])

        assert decode_snapshot(relayed) == snapshot

    @given(raw=st.binary(max_size=40))
    def test_noise_is_a_typed_error(self, raw):
        """Arbitrary bytes raise ``MalformedSnapshotError``."""
        with pytest.raises(MalformedSnapshotError):
            decode_snapshot(raw)

    @given(raw=st.binary(max_size=40))
    def test_packed_noise_is_a_typed_error(self, raw):
        """Compressed arbitrary bytes raise ``MalformedSnapshotError``."""
        with pytest.raises(MalformedSnapshotError):
            decode_snapshot(compressed_json(raw))

    def test_bomb_is_refused(self):
        """A message that decompresses beyond the limit is refused."""
        snapshot = AccountSnapshot(**FIELDS)
        bomb = compressed_json(
            orjson.dumps(snapshot.as_dict()).ljust(50_000_000)
        )

        with pytest.raises(MalformedSnapshotError):
            decode_snapshot(bomb)

    @pytest.mark.parametrize(
        'change',
        [
            {'sequence': -1},
            {'sequence': True},
            {'node': 3},
            {'started_at': 'noon'},
            {'lines': [{'service': 'a', 'kind': 'b'}]},
            {'lines': [{'service': 'a', 'kind': 2, 'importance': 1}]},
            {'lines': 3},
            {'unheard_of': 1},
        ],
    )
    def test_bad_fields_are_refused(self, change):
        """An unknown, mistyped or out-of-range field is refused."""
        with pytest.raises(MalformedSnapshotError):
            snapshot_from_dict(FIELDS | change)
