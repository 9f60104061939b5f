"""Decoding the entries that targets publish about themselves."""

from typing import Any

import orjson
import pytest
from adapter.entries import decode_entry
from hypothesis import given
from hypothesis import strategies as st

ENTRY: dict[str, Any] = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_s': 0.5,
    'seq': 4,
    'born': 1764800000000,
}


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
