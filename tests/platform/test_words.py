"""The names and formats of the platform's header fields."""

import pytest
from adapter.headers import HEADER_NAMES, read_load


class TestReadLoad:
    """Decoding the load header of a target."""

    def test_reads_three_numbers(self) -> None:
        """Running calls and slots are read; the middle one is not used."""
        reported = read_load(b'3,1,8')
        assert reported is not None
        assert (reported.running, reported.slots) == (3, 8)

    @pytest.mark.parametrize(
        ('text', 'pace'), [(b'3,1,8,100', 1), (b'3,1,8,250', 2.5)]
    )
    def test_reads_the_pace(self, text: bytes, pace: float) -> None:
        """Guards against a load that is lost as it tells one number more."""
        reported = read_load(text)
        assert reported is not None
        assert (reported.running, reported.slots) == (3, 8)
        assert reported.pace == pace

    @pytest.mark.parametrize('digits', [7, 10, 400, 4000, 5000])
    def test_refuses_numbers_that_are_too_large(self, digits: int) -> None:
        """Guards against a node that one such number makes unable to serve."""
        assert read_load(b'3,1,%b' % (b'9' * digits)) is None
        assert read_load(b'%b,1,8' % (b'9' * digits)) is None

    @pytest.mark.parametrize(
        'text', [b'', b'3,1', b'3,1,x', b'-1,0,8', b'3,1,8,', b'3,1,8,x']
    )
    def test_refuses_malformed_text(self, text: bytes) -> None:
        """Malformed text is decoded as ``None``."""
        assert read_load(text) is None


class TestHeaderNames:
    """The transport compares names in lower case."""

    def test_is_in_lower_case(self) -> None:
        """A name with an upper-case letter would never match."""
        names = [
            HEADER_NAMES.attempt_id,
            HEADER_NAMES.proof,
            *HEADER_NAMES.overwritten,
        ]
        assert all(name == name.lower() for name in names)
