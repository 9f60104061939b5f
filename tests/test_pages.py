"""Tests that commands, modules and links in the documentation exist."""

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
_CODE_PATTERN = re.compile(
    r'```.*?```|`[^`\n]+`|^    [^\n]*', re.MULTILINE | re.DOTALL
)
_COMMAND_PATTERN = re.compile(
    r'^[ `]*lovageshunt ((?:[a-z]+ ?)+)', re.MULTILINE
)
_MODULE_PATTERN = re.compile(r'python -m (bench\.[.a-z_]+|bench [a-z_]+|demo)')
_MAKE_TARGET_PATTERN = re.compile(r'^[ `]*make ([a-z]+)', re.MULTILINE)
_COMMAND_GROUPS = frozenset(('rules',))


def names_on_pages(pattern):
    """Return the distinct matches within code on the pages, sorted."""
    texts = (page.read_text(encoding='utf-8') for page in _PAGES)
    codes = [code for text in texts for code in _CODE_PATTERN.findall(text)]
    names = {match for code in codes for match in pattern.findall(code)}
    return sorted(name.strip() for name in names)


class TestPages:
    """Names that readers of the documentation would use."""

    @pytest.mark.parametrize('words', names_on_pages(_COMMAND_PATTERN))
    def test_command_has_a_help_page(self, words):
        """Each lovageshunt command on a page exists."""
        names = words.split()
        count = 2 if names[0] in _COMMAND_GROUPS else 1

        assert main([*names[:count], '--help']) == ExitCode.SUCCESS

    @pytest.mark.parametrize('module', names_on_pages(_MODULE_PATTERN))
    def test_module_exists(self, module):
        """Each module that a page tells readers to run exists."""
        path = _ROOT / re.sub('[. ]', '/', module)

        assert path.with_suffix('.py').exists() or path.is_dir()

    @pytest.mark.parametrize('target', names_on_pages(_MAKE_TARGET_PATTERN))
    def test_make_target_exists(self, target):
        """Each make target on a page is in the Makefile."""
        makefile = (_ROOT / 'Makefile').read_text(encoding='utf-8')

        assert f'\n{target}:' in makefile

    def test_pages_that_the_readme_links_exist(self):
        """Each link in README.md leads to an existing file."""
        readme = (_ROOT / 'README.md').read_text(encoding='utf-8')
        links = re.findall(r'\]\(([^)#]+)\)', readme)

        assert [link for link in links if not (_ROOT / link).exists()] == []
