"""Check the names in the glossary against the public code."""

import re
from importlib import import_module
from pathlib import Path

import pytest

PAGE = Path('docs/GLOSSARY.md').read_text(encoding='utf-8')
CODE = re.compile('`([^`\n]+)`')
#: Packages whose public names the glossary gives unqualified.
PACKAGES = (
    'account',
    'admission',
    'calls',
    'idempotency',
    'links',
    'membership',
    'pressure',
    'retries',
    'routes',
    'routing',
    'rules',
    'sidecar',
)
#: Names on the wire and in charts that are not names in code.
OUTER_NAMES = frozenset(('request_id', 'attempt', 'leaving'))


def names_in_code():
    """Return the names in the last columns of the page's tables."""
    cells = [row.split('|')[-2] for row in PAGE.splitlines() if '|' in row]
    names = {name for cell in cells for name in CODE.findall(cell)}
    return sorted(names - OUTER_NAMES)


class TestGlossary:
    """Names in the last column of the glossary's tables."""

    @pytest.mark.parametrize('name', names_in_code())
    def test_name_exists(self, name):
        """A name in the last column is public under this spelling."""
        if name.startswith('lovageshunt.'):
            assert import_module(name)
            return
        owner, _, field = name.partition('.')
        modules = [import_module(f'lovageshunt.{each}') for each in PACKAGES]
        owners = [getattr(module, owner, None) for module in modules]
        found = [each for each in owners if each is not None]

        assert found, f'{owner} is not public'
        assert not field or hasattr(found[0], field), f'no {name}'
