"""The status commands."""

import orjson

from lovageshunt.cli import main
from tests.authority import Authority
from tests.cli.admin_server import admin_server

BODY = {'node': 'n1', 'incarnation': 'a', 'service': 'balances', 'limit': 12}


class TestStatus:
    """``lovageshunt status``."""

    def test_table_has_a_row_for_each_node(self, capsys):
        """A node's fields stand in its row, unknown ones as a dash."""
        with admin_server({'/v1/status': BODY}) as address:
            code = main(['status', f'--nodes={address}'])

        header, row = capsys.readouterr().out.splitlines()
        assert code == 0
        assert header.split()[:2] == ['node', 'service']
        assert row.split()[:3] == ['n1', 'balances', '-']

    def test_threshold_and_leavers_are_shown(self, capsys):
        """The threshold is in importances; a leaving VM has its witnesses."""
        members = {'records': [{'name': 'vm-7', 'is_leaving': True}]}
        body = {**BODY, 'threshold': 98304, 'members': members}
        with admin_server({'/v1/status': body}) as address:
            main(['status', f'--nodes={address}'])

        shown = capsys.readouterr().out
        assert ' 1.50 ' in shown
        assert 'leaving: vm-7, as n1 has it' in shown

    def test_nodes_may_come_from_a_file(self, capsys, tmp_path):
        """Addresses in a file are asked like those in the flag."""
        path = tmp_path / 'nodes'
        with admin_server({'/v1/status': BODY}) as address:
            path.write_text(f'{address}\n')
            code = main(['status', f'--nodes-file={path}'])

        assert code == 0
        assert 'balances' in capsys.readouterr().out

    def test_nodes_are_asked_by_tls(self, tmp_path):
        """A node whose certificate the authority vouches for is asked."""
        authority = Authority(tmp_path, 'authority')
        certificate = authority.certificate('node')
        with admin_server({'/v1/status': BODY}, '', certificate) as address:
            code = main(
                [
                    'status',
                    f'--nodes={address}',
                    f'--authority-file={authority.path}',
                ],
            )

        assert code == 0

    def test_unknown_authority_is_refused(self, capsys, tmp_path):
        """A node whose certificate another authority made gives no answer."""
        certificate = Authority(tmp_path, 'authority').certificate('node')
        other = Authority(tmp_path, 'other').path
        with admin_server({'/v1/status': BODY}, '', certificate) as address:
            code = main(
                ['status', f'--nodes={address}', f'--authority-file={other}'],
            )

        assert code == 1
        assert 'CERTIFICATE_VERIFY_FAILED' in capsys.readouterr().out

    def test_authority_that_is_none_is_a_fault(self, capsys, tmp_path):
        """A file without a certificate is named with its remedy."""
        path = tmp_path / 'authority'
        path.write_text('none')

        code = main(['status', '--nodes=a:1', f'--authority-file={path}'])

        assert code == 2
        assert '--authority-file in PEM' in capsys.readouterr().err

    def test_json_names_the_node_without_answer(self, capsys):
        """A node without an answer is in the JSON, and the exit code 1."""
        with admin_server({'/v1/status': BODY}) as address:
            code = main(['status', f'--nodes={address},127.0.1:1', '--json'])

        first, second = orjson.loads(capsys.readouterr().out)
        assert code == 1
        assert first['limit'] == 12
        assert 'gave no usable answer' in second['error']


class TestTop:
    """``lovageshunt top``."""

    def test_status_is_shown_count_times(self, capsys):
        """The table is printed as often as asked."""
        with admin_server({'/v1/status': BODY}) as address:
            code = main(
                [
                    'top',
                    f'--nodes={address}',
                    '--interval-seconds=0.1',
                    '--count=2',
                ],
            )

        assert code == 0
        assert capsys.readouterr().out.count('balances') == 2
