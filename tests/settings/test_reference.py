"""The reference page lists the same sections and keys as the code."""

from pathlib import Path

import pytest

from lovageshunt.settings import CLIENT_TABLES, NODE_TABLES, SIDECAR_TABLES

PAGE = Path(__file__).parents[2] / 'docs' / 'CONFIGURATION.md'


def lines_of(table):
    """Yield the lines that the page must have for one section."""
    yield f'### [{table.name}]'
    yield table.meaning
    for key in table.keys:
        cells = (
            f'`{key.name}`',
            key.kind.expected,
            f'`{key.default}`' if key.default else 'empty',
            key.unit,
            key.meaning,
        )
        yield f'| {" | ".join(cells)} |'


class TestReference:
    """docs/CONFIGURATION.md."""

    @pytest.mark.parametrize(
        'table',
        NODE_TABLES + CLIENT_TABLES + SIDECAR_TABLES,
        ids=lambda table: table.name,
    )
    def test_has_every_key(self, table):
        """The page has each section and key as the code defines it."""
        page = PAGE.read_text(encoding='utf-8').splitlines()

        assert [line for line in lines_of(table) if line not in page] == []

    def test_has_no_other_key(self):
        """The page has no key that the code does not define."""
        _, settings = PAGE.read_text(encoding='utf-8').split('# Settings\n')
        tables = NODE_TABLES + CLIENT_TABLES + SIDECAR_TABLES
        known = {line for table in tables for line in lines_of(table)}
        lines = settings.splitlines()
        keys = {line for line in lines if line.startswith('| `')}

        assert keys <= known
