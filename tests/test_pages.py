"""The commands that the pages name exist."""

import re
from pathlib import Path

import pytest

from lovageshunt.cli import ExitCode, main

_ROOT = Path(__file__).parent.parent
_PAGES = [
    _ROOT / 'README.md',
    _ROOT / 'CONTRIBUTING.md',
    *sorted((_ROOT / 'docs').rglob('*.md')),
]
_CODE = re.compile(r'```.*?```|`[^`\n]+`|^    [^\n]*', re.MULTILINE | re.DOTALL)
_COMMAND = re.compile(r'^[ `]*lovageshunt ((?:[a-z]+ ?)+)', re.MULTILINE)
_MODULE = re.compile(r'python -m (bench\.[.a-z_]+|bench [a-z_]+|demo)')
_TARGET = re.compile(r'^[ `]*make ([a-z]+)', re.MULTILINE)
_GROUPED = frozenset(('rules',))


def found(pattern):
    """Return what the code on the pages names, each once."""
    texts = (page.read_text(encoding='utf-8') for page in _PAGES)
    codes = [code for text in texts for code in _CODE.findall(text)]
    named = {match for code in codes for match in pattern.findall(code)}
    return sorted(name.strip() for name in named)


class TestPages:
    """What a reader would type."""

    @pytest.mark.parametrize('words', found(_COMMAND))
    def test_command_has_a_help_page(self, words):
        """Each lovageshunt command on a page is one."""
        named = words.split()
        count = 2 if named[0] in _GROUPED else 1

        assert main([*named[:count], '--help']) == ExitCode.SUCCESS

    @pytest.mark.parametrize('module', found(_MODULE))
    def test_module_exists(self, module):
        """Each module that a page runs exists."""
        path = _ROOT / re.sub('[. ]', '/', module)

        assert path.with_suffix('.py').exists() or path.is_dir()

    @pytest.mark.parametrize('target', found(_TARGET))
    def test_make_target_exists(self, target):
        """Each make target on a page is one."""
        makefile = (_ROOT / 'Makefile').read_text(encoding='utf-8')

        assert f'\n{target}:' in makefile

    def test_pages_that_the_readme_links_exist(self):
        """No link of the first page leads nowhere."""
        readme = (_ROOT / 'README.md').read_text(encoding='utf-8')
        links = re.findall(r'\]\(([^)#]+)\)', readme)

        assert [link for link in links if not (_ROOT / link).exists()] == []
