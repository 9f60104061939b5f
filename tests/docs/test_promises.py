"""The page of promises against the tests that it names."""

import re
from pathlib import Path

import pytest

PAGE = Path('docs/PROMISES.md').read_text(encoding='utf-8')
NAMED = re.compile(r'`([\w/]+\.py)::(\w+)`')


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
