"""A few seeds of the soak; many are played by hand."""

import pytest

from tests.sidecar.soak import soak


class TestSoak:
    """Crashes, restarts, planned stops, cut links and changes that overlap."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    async def test_finds_nothing(self, seed: int) -> None:
        """Not run is true, purchases run once, crashing requests stop."""
        assert (await soak(seed)).violations == []
