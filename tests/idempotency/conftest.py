"""Fixtures of the at-most-once tests."""

import pytest

from tests.idempotency.nodes import make_node


@pytest.fixture
def node():
    """Return a node that settled long before ``NOW``."""
    return make_node()
