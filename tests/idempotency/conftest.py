"""The node under test."""

import pytest

from tests.idempotency.nodes import make_node


@pytest.fixture
def node():
    """Return a node that settled long ago."""
    return make_node()
