"""The platform's header fields."""

import pytest
from adapter.words import DIALECT, read_load


class TestReadLoad:
    """A target's load as it tells it."""

    def test_reads_three_numbers(self) -> None:
        """Running calls and slots are read; the middle one is not used."""
        reported = read_load(b'3,1,8')
        assert reported is not None
        assert (reported.running, reported.slots) == (3, 8)

    @pytest.mark.parametrize('text', [b'', b'3,1', b'3,1,x', b'-1,0,8'])
    def test_reads_nothing_else(self, text: bytes) -> None:
        """Other text tells nothing."""
        assert read_load(text) is None


class TestDialect:
    """Names in lower case, as the transport compares them."""

    def test_is_in_lower_case(self) -> None:
        """A name in another case would never be found."""
        names = [DIALECT.attempt_id, DIALECT.proof, *DIALECT.overwritten]
        assert all(name == name.lower() for name in names)
