"""The state of the fleet as nodes exchange it."""

import orjson
import pytest

from lovageshunt.errors import MalformedFrameError
from lovageshunt.links import compress
from lovageshunt.sidecar._snapshot import decode_changes, decode_snapshot

_ODD = (None, True, 7, 'x', [], [7], {}, {'routes': 7})


class TestMalformedState:
    """A state of another shape than expected."""

    @pytest.mark.parametrize('odd', [*_ODD, {'configuration': 'x'}])
    def test_raises_the_documented_error(self, odd: object) -> None:
        """Any other error would end more than the link it came on."""
        with pytest.raises(MalformedFrameError):
            decode_snapshot(orjson.dumps(odd))
        with pytest.raises(MalformedFrameError):
            decode_changes(compress(orjson.dumps(odd)))

    @pytest.mark.parametrize('odd', [7, 'x', [7], {'routes': 7}])
    def test_so_does_a_configuration_of_another_type(self, odd: object) -> None:
        """The configuration of an otherwise sound state is odd."""
        fields = {'revision': 1, 'entries': [], 'configuration': odd}
        with pytest.raises(MalformedFrameError):
            decode_snapshot(orjson.dumps(fields))
