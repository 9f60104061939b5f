"""The page of promises against the tests that it names."""

import re
from pathlib import Path

import pytest

PAGE = Path('docs/PROMISES.md').read_text(encoding='utf-8')
NAMED = re.compile(r'`([\w/]+\.py)::(\w+)`')
FEATURES = re.compile(r'`([\w/]+\.feature)`')


class TestPromises:
    """The proofs."""

    @pytest.mark.parametrize(
        ('path', 'name'),
        sorted(set(NAMED.findall(PAGE))),
    )
    def test_proof_exists(self, path, name):
        """Each test that is named as a proof is in that file."""
        code = Path('tests', path).read_text(encoding='utf-8')

        assert re.search(rf'^(class )?{name}\b', code, re.MULTILINE)

    @pytest.mark.parametrize('path', sorted(set(FEATURES.findall(PAGE))))
    def test_scenario_exists(self, path):
        """Each file of scenarios that is named is there."""
        assert Path('tests', path).exists()
