"""Tests of the explain command."""

import orjson
import pytest

from lovageshunt.cli import main


def line(second: float, node: str, message: str, **fields: object) -> str:
    record = {
        'message': message,
        'node': node,
        'request_id': '',
        'timestamp': f'2026-10-02T19:31:{second:09.6f}+00:00',
    }
    return orjson.dumps(record | fields).decode()


@pytest.fixture
def logs(tmp_path):
    """Write logs of three nodes; one line has the prefix of the bench."""
    first = tmp_path / 'first.jsonl'
    second = tmp_path / 'second.jsonl'
    first.write_text(
        '\n'.join(
            (
                '  3.1 n1 ' + line(10, 'n1', 'request refused', request_id='r'),
                line(9, 'n1', 'demand above capacity', share=0.4),
                line(10, 'n1', 'request refused', request_id='other'),
                line(30, 'n1', 'long after'),
                '{"cut off',
            ),
        ),
    )
    second.write_text(
        '\n'.join(
            (
                line(9.5, 'n2', 'run failed', request_id='r', reason='late'),
                line(9.4, 'n3', 'on another node'),
            ),
        ),
    )
    return [str(first), str(second)]


class TestExplain:
    """``lovageshunt explain``."""

    def test_orders_lines_of_all_nodes(self, logs, capsys):
        """Lines of a request and nearby ones of its nodes come by time."""
        code = main(['explain', 'r', *logs])

        shown = capsys.readouterr().out.splitlines()
        assert code == 0
        assert [text.split(': ')[1].split(' ')[0] for text in shown] == [
            'demand',
            'run',
            'request',
        ]
        assert 'share=0.4' in shown[0]
        assert [text[0] for text in shown] == [' ', '*', '*']

    def test_prints_json(self, logs, capsys):
        """With --json the log records are printed unchanged."""
        main(['explain', 'r', *logs, '--json'])

        printed = orjson.loads(capsys.readouterr().out)
        assert len(printed['lines']) == 3

    def test_says_when_no_line_names_it(self, logs, capsys):
        """An unknown request gives exit code 1 and a message."""
        assert main(['explain', 'unknown', *logs]) == 1
        assert 'no log line mentions unknown' in capsys.readouterr().out

    def test_needs_files(self, capsys):
        """A missing file argument or file gives exit code 2."""
        assert main(['explain', 'r']) == 2
        assert main(['explain', 'r', '/no/such/file']) == 2
        assert 'files' in capsys.readouterr().err
