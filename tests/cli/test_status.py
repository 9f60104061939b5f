"""Tests of the status and top commands."""

import orjson

from lovageshunt.cli import main
from tests.authority import Authority
from tests.cli.admin_server import admin_server

BODY = {'node': 'n1', 'incarnation': 'a', 'service': 'balances', 'limit': 12}


class TestStatus:
    """``lovageshunt status``."""

    def test_table_has_a_row_for_each_node(self, capsys):
        """A row has the node's fields, and a dash for missing ones."""
        with admin_server({'/v1/status': BODY}) as address:
            code = main(['status', f'--nodes={address}'])

        header, row = capsys.readouterr().out.splitlines()
        assert code == 0
        assert header.split()[:2] == ['node', 'service']
        assert row.split()[:3] == ['n1', 'balances', '-']

    def test_threshold_and_leaving_vms_are_shown(self, capsys):
        """The threshold is an importance; leaving VMs list their reporters."""
        members = {'records': [{'name': 'vm-7', 'is_leaving': True}]}
        body = {**BODY, 'threshold': 98304, 'members': members}
        with admin_server({'/v1/status': body}) as address:
            main(['status', f'--nodes={address}'])

        shown = capsys.readouterr().out
        assert ' 1.50 ' in shown
        assert 'leaving: vm-7, reported by n1' in shown

    def test_nodes_may_come_from_a_file(self, capsys, tmp_path):
        """Nodes listed in --nodes-file are queried."""
        path = tmp_path / 'nodes'
        with admin_server({'/v1/status': BODY}) as address:
            path.write_text(f'{address}\n')
            code = main(['status', f'--nodes-file={path}'])

        assert code == 0
        assert 'balances' in capsys.readouterr().out

    def test_nodes_are_queried_by_tls(self, tmp_path):
        """A node with a certificate of the given authority is queried."""
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
        """A node with a certificate of another authority is an error."""
        certificate = Authority(tmp_path, 'authority').certificate('node')
        other = Authority(tmp_path, 'other').path
        with admin_server({'/v1/status': BODY}, '', certificate) as address:
            code = main(
                ['status', f'--nodes={address}', f'--authority-file={other}'],
            )

        assert code == 1
        assert 'CERTIFICATE_VERIFY_FAILED' in capsys.readouterr().out

    def test_malformed_authority_file_is_a_fault(self, capsys, tmp_path):
        """A file without a certificate gives exit code 2 and a remedy."""
        path = tmp_path / 'authority'
        path.write_text('none')

        code = main(['status', '--nodes=a:1', f'--authority-file={path}'])

        assert code == 2
        assert '--authority-file in PEM' in capsys.readouterr().err

    def test_json_names_the_node_without_answer(self, capsys):
        """A node without an answer is in the JSON; the exit code is 1."""
        with admin_server({'/v1/status': BODY}) as address:
            code = main(['status', f'--nodes={address},127.0.1:1', '--json'])

        first, second = orjson.loads(capsys.readouterr().out)
        assert code == 1
        assert first['limit'] == 12
        assert 'gave no usable answer' in second['error']


class TestTop:
    """``lovageshunt top``."""

    def test_status_is_shown_count_times(self, capsys):
        """The table is printed ``--count`` times."""
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
