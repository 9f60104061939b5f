"""Check that the tests named on the page of promises exist."""

import re
from pathlib import Path

import pytest

PAGE = Path('docs/PROMISES.md').read_text(encoding='utf-8')
TEST_REFERENCES = re.compile(r'`([\w/]+\.py)::(\w+)`')
FEATURE_REFERENCES = re.compile(r'`([\w/]+\.feature)`')


class TestPromises:
    """Tests and feature files that the page refers to."""

    @pytest.mark.parametrize(
        ('path', 'name'),
        sorted(set(TEST_REFERENCES.findall(PAGE))),
    )
    def test_proof_exists(self, path, name):
        """Each test that the page refers to is defined in its file."""
        code = Path('tests', path).read_text(encoding='utf-8')

        assert re.search(rf'^(class )?{name}\b', code, re.MULTILINE)

    @pytest.mark.parametrize(
        'path', sorted(set(FEATURE_REFERENCES.findall(PAGE)))
    )
    def test_scenario_exists(self, path):
        """Each feature file that the page refers to exists."""
        assert Path('tests', path).exists()
