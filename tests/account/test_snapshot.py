"""The wire form of snapshots."""

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


def packed(raw):
    """Return bytes in the wire form of a snapshot."""
    return orjson.dumps(b64encode(compress(raw)).decode())


class TestDecodeSnapshot:
    """Decoding."""

    @given(snapshot=SNAPSHOTS)
    def test_round_trip(self, snapshot):
        """A snapshot survives the wire unchanged."""
        assert decode_snapshot(encode_snapshot(snapshot)) == snapshot

    @given(snapshot=SNAPSHOTS)
    def test_wire_form_may_stand_in_a_message(self, snapshot):
        """The wire form is itself JSON, and the same after a relay."""
        raw = encode_snapshot(snapshot)
        message = orjson.dumps({'accounts': [orjson.Fragment(raw)]})

        relayed = orjson.dumps(orjson.loads(message)['accounts'][0])

        assert decode_snapshot(relayed) == snapshot

    @given(raw=st.binary(max_size=40))
    def test_noise_is_a_typed_error(self, raw):
        """Arbitrary bytes are refused with the typed error."""
        with pytest.raises(MalformedSnapshotError):
            decode_snapshot(raw)

    @given(raw=st.binary(max_size=40))
    def test_packed_noise_is_a_typed_error(self, raw):
        """Arbitrary bytes, well packed, are refused with the typed error."""
        with pytest.raises(MalformedSnapshotError):
            decode_snapshot(packed(raw))

    def test_bomb_is_refused(self):
        """A small message that unpacks to a huge one is not unpacked."""
        snapshot = AccountSnapshot(**FIELDS)
        bomb = packed(orjson.dumps(snapshot.as_dict()).ljust(50_000_000))

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
        """A field of the wrong type or range is refused."""
        with pytest.raises(MalformedSnapshotError):
            snapshot_from_dict(FIELDS | change)
