"""Tests of the command that runs a node."""

from lovageshunt.cli import ExitCode, main


class TestNode:
    """Settings are validated before sockets are opened."""

    def test_every_fault_is_named_at_once(self, tmp_path, capsys):
        """Every fault has a line with file, section, key and value."""
        path = tmp_path / 'node.ini'
        path.write_text('[node]\nname = n1\n[listen]\ningress = here\n')
        code = main(['node', f'--settings={path}'])
        lines = capsys.readouterr().err.splitlines()

        assert code == ExitCode.INVALID_INPUT
        assert any(
            str(path) in line and '[listen] ingress' in line and 'here' in line
            for line in lines
        )
        assert any('[platform]' in line for line in lines)

    def test_missing_file_is_a_fault(self, tmp_path):
        """A missing settings file is invalid input."""
        path = tmp_path / 'none.ini'

        assert main(['node', f'--settings={path}']) == ExitCode.INVALID_INPUT
