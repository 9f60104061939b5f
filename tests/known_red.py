"""Pytest plugin that tolerates failures of tests in KNOWN-RED.txt only."""

from pathlib import Path

import pytest

_LIST = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST_FIELD = 'test: '


def listed_tests() -> frozenset[str]:
    """Return the ids of the tests that are known to fail."""
    if not _LIST.exists():
        return frozenset()
    lines = _LIST.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_TEST_FIELD).strip()
        for line in lines
        if line.startswith(_TEST_FIELD)
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    known_red = listed_tests()
    for test in items:
        if test.nodeid in known_red:
            test.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
