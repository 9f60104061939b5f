"""Tests of the rules commands."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from lovageshunt.cli import main

EXAMPLES = Path(__file__).parents[2] / 'examples'
SHEET = EXAMPLES / 'nahr-labs' / 'rules.csv'


@pytest.fixture
def newer(tmp_path):
    """Write the example with the next generation and one changed field."""
    path = tmp_path / 'newer.csv'
    text = SHEET.read_text(encoding='utf-8')
    text = text.replace('generation;1', 'generation;2')
    path.write_text(text.replace(';1,5;', ';2;', 1), encoding='utf-8')
    return path


class TestCheck:
    """``rules check``."""

    def test_sheet_without_faults(self, capsys):
        """A valid sheet gives exit code 0."""
        assert main(['rules', 'check', str(SHEET)]) == 0
        assert 'no faults' in capsys.readouterr().out

    def test_faults(self, capsys):
        """Faults give exit code 2 and are listed in the JSON output."""
        argv = ['rules', 'check', str(SHEET), '--services=payments', '--json']

        assert main(argv) == 2
        found = orjson.loads(capsys.readouterr().out)['faults']
        assert {fault['column'] for fault in found} == {'service'}

    def test_no_such_file(self, capsys):
        """An unreadable sheet gives exit code 2."""
        assert main(['rules', 'check', 'no-such-sheet.csv']) == 2
        assert 'no-such-sheet.csv' in capsys.readouterr().out

    def test_loads_no_http_library(self):
        """Checking a sheet does not load the HTTP library."""
        code = (
            'import sys; from lovageshunt.cli import main; '
            f'main(["rules", "check", {str(SHEET)!r}]); '
            'sys.exit("aiohttp" in sys.modules)'
        )
        checked = subprocess.run([sys.executable, '-c', code], check=False)

        assert checked.returncode == 0


class TestDiff:
    """``rules diff``."""

    def test_changed_field(self, newer, capsys):
        """A changed field is shown with both values."""
        argv = ['rules', 'diff', str(SHEET), str(newer), '--json']

        assert main(argv) == 0
        changes = orjson.loads(capsys.readouterr().out)['changes']
        assert [(one['old'], one['new']) for one in changes] == [
            ('1500', '2000'),
        ]

    def test_no_changes(self, capsys):
        """Identical sheets have no changes."""
        assert main(['rules', 'diff', str(SHEET), str(SHEET)]) == 0
        assert 'no changes' in capsys.readouterr().out


class TestAccept:
    """``rules accept``."""

    def test_newer_is_written(self, newer, tmp_path):
        """A sheet with a higher generation is written as a document."""
        out = tmp_path / 'next.json'
        argv = ['rules', 'accept', str(newer), f'--out={out}']

        assert main([*argv, f'--in-force={SHEET}']) == 0
        assert orjson.loads(out.read_bytes())['generation'] == 2

    @pytest.mark.parametrize('name', ['nahr-labs', 'despensa'])
    def test_not_newer_is_refused(self, name, newer, tmp_path):
        """An older or equal generation, or another deployment, is refused."""
        out = tmp_path / 'next.json'
        sheet = EXAMPLES / name / 'rules.csv'
        argv = ['rules', 'accept', str(sheet), f'--out={out}']

        assert main([*argv, f'--in-force={newer}']) == 2
        assert main([*argv, f'--in-force={SHEET}']) == 2
        assert not out.exists()

    def test_outdated_sheet_is_refused(self, newer, tmp_path):
        """A sheet with a date row in the past is refused."""
        text = newer.read_text(encoding='utf-8')
        newer.write_text(f'date;2020-01-01\n{text}', encoding='utf-8')

        assert main(['rules', 'accept', str(newer)]) == 2

    def test_cannot_be_written(self, newer, tmp_path):
        """A document that cannot be written gives exit code 1."""
        out = tmp_path / 'no' / 'such' / 'folder'

        assert main(['rules', 'accept', str(newer), f'--out={out}']) == 1


class TestHelp:
    """Help and invalid command lines."""

    @pytest.mark.parametrize('name', ['check', 'diff', 'accept', 'status'])
    def test_shows_an_example(self, name, capsys):
        """The help of each command shows an example."""
        assert main(['rules', name, '--help']) == 0
        assert 'example: lovageshunt rules' in capsys.readouterr().out

    @pytest.mark.parametrize(
        'argv',
        [
            [],
            ['rule'],
            ['rules'],
            ['rules', 'chek'],
            ['rules', 'check'],
            ['rules', 'check', 'a', 'b'],
            ['rules', 'diff', 'a'],
            ['rules', 'accept'],
            ['rules', 'status'],
            ['rules', 'check', '--jsn'],
        ],
    )
    def test_invalid_command_line(self, argv):
        """An unknown command, argument or flag gives exit code 2."""
        assert main(argv) == 2
