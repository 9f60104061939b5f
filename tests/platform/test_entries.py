"""Decoding the entries that targets publish about themselves."""

from typing import Any

import orjson
import pytest
from adapter.entries import decode_entry
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.sidecar import TargetEntry
from lovageshunt.sidecar._snapshot import (
    FleetSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from tests.platform.entry import ENTRY
from tests.platform.odd_entries import ODD_IDS, odd_entries


def decoded(**changes: Any) -> Any:
    return decode_entry('i-1', orjson.dumps(ENTRY | changes))


class TestDecodeEntry:
    """Reading valid entries and refusing malformed ones."""

    def test_reads_every_field(self) -> None:
        """The address, failure domain, slots and start time are read."""
        entry = decoded()
        assert (entry.target_id, entry.service) == ('i-1', 's')
        assert (entry.host, entry.port) == ('10.0.0.1', 80)
        assert (entry.failure_domain, entry.slots) == ('z', 8)
        assert not entry.is_leaving
        assert entry.started_ms == ENTRY['born']

    def test_reads_that_a_target_leaves(self) -> None:
        """A draining target is leaving."""
        assert decoded(state='draining').is_leaving

    @pytest.mark.parametrize(
        ('field', 'text'),
        [
            ('service', 7),
            ('address', None),
            ('address', 'nowhere'),
            ('slots', '8'),
            ('slots', True),
            ('state', 'asleep'),
            ('cold_left_s', 'soon'),
            ('seq', None),
        ],
    )
    def test_refuses_invalid_fields(self, field: str, text: object) -> None:
        """An entry with a field of a wrong type or value is refused."""
        with pytest.raises(ValueError, match=r'.+'):
            decoded(**{field: text})

    @given(st.binary(max_size=60))
    def test_raises_only_the_documented_error(self, garbage: bytes) -> None:
        """Random bytes raise ``ValueError``."""
        with pytest.raises(ValueError, match=r'.*'):
            decode_entry('i-1', garbage)


class TestOddEntries:
    """Entries that no target wrote, of any depth, number and size."""

    def test_are_refused_or_usable(self) -> None:
        """Guards against nodes that end, or stop following, by one entry.

        An entry with a further field that is not known is usable.
        """
        for raw in odd_entries():
            try:
                entry = decode_entry('i-1', raw)
            except ValueError as error:
                assert 0 < len(str(error)) < 300
                continue
            assert 0 < entry.port < 2**16
            assert 0 < entry.slots <= 1_000_000
            assert 0 <= entry.started_ms < 2**53
            assert 0 <= entry.cold_seconds <= 86_400
            assert len(entry.host.encode('idna')) < 256
            assert decode_snapshot(encode_snapshot(only_of(entry)))

    @pytest.mark.parametrize('target_id', ODD_IDS)
    def test_ids_that_fit_no_header_are_refused(self, target_id: str) -> None:
        """Guards against a header field that another writer adds."""
        with pytest.raises(ValueError, match=r'visible ASCII'):
            decode_entry(target_id, orjson.dumps(ENTRY))


def only_of(entry: TargetEntry) -> FleetSnapshot:
    return FleetSnapshot(revision=1, configuration=None, entries=[entry])
