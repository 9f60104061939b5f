"""Tests of the account command."""

import orjson
import pytest

from lovageshunt.account import Account, Role
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.cli import main
from tests.cli.admin_server import admin_server

CALL = ('balances', 'lookup', 1)


def body_of(node, incarnation='a', kept=()):
    """Return an answer that counts one answered and one refused call."""
    account = Account(node, incarnation, 0)
    account.arrived(*CALL)
    account.ended(*CALL, Outcome.ANSWERED, ran=True)
    account.arrived(*CALL)
    account.ended(*CALL, Outcome.NOT_RUN, RefusalReason.OVERLOAD)
    return {
        'node': node,
        'incarnation': incarnation,
        'account': account.snapshot(60.0).as_dict(),
        'kept': list(kept),
    }


class TestAccount:
    """``lovageshunt account``."""

    def test_accounts_of_all_nodes_are_summed(self, capsys):
        """The counts of two nodes are summed, and the account balances."""
        with (
            admin_server({'/v1/account': body_of('n1')}) as one,
            admin_server({'/v1/account': body_of('n2')}) as two,
        ):
            code = main(['account', f'--nodes={one},{two}', '--json'])

        report = orjson.loads(capsys.readouterr().out)
        assert code == 0
        assert report['nodes'][0]['arrived'] == 4
        assert report['nodes'][0]['refused_by_reason'] == {'overload': 2}

    def test_lost_node_is_named(self, capsys):
        """A hole is reported for a node known only from a peer's copy."""
        lost = body_of('n2', 'old')['account']
        body = body_of('n1', kept=[lost])
        with admin_server({'/v1/account': body}) as address:
            code = main(['account', f'--nodes={address}'])

        shown = capsys.readouterr().out
        assert code == 1
        assert 'hole: n2 old from 1970-01-01T00:01:00Z' in shown

    def test_imbalance_is_named_once(self, capsys):
        """An imbalance is reported once, although a peer copy repeats it."""
        body = body_of('n1')
        body['account']['lines'][0]['running'] = -1
        body |= {'kept': [body['account']], 'held_by_service': {'balances': 3}}
        with admin_server({'/v1/account': body}) as address:
            code = main(['account', f'--nodes={address}'])

        shown = capsys.readouterr().out
        assert code == 1
        assert shown.count('running >= 0 is off by 1') == 1
        assert shown.count('running = held by admission is off by -4') == 1

    def test_callers_are_compared(self, capsys, tmp_path):
        """A contradiction between a caller and the nodes is reported."""
        path = tmp_path / 'phone.json'
        phone = Account('phone', 'a', 0, role=Role.CALLER)
        for _ in range(3):
            phone.arrived(*CALL)
            phone.ended(*CALL, Outcome.ANSWERED, ran=True)
        path.write_bytes(orjson.dumps(phone.snapshot(9).as_dict()))
        with admin_server({'/v1/account': body_of('n1')}) as address:
            code = main(
                ['account', f'--nodes={address}', f'--callers={path}'],
            )

        assert code == 1
        assert 'answered at nodes is off by 2' in capsys.readouterr().out

    def test_unreachable_node_is_named(self, capsys):
        """A node that does not answer gives exit code 1."""
        code = main(['account', '--nodes=127.0.1:1'])

        assert code == 1
        assert 'node 127.0.1:1 gave no usable answer' in capsys.readouterr().out

    @pytest.mark.parametrize('body', [b'[]', b'{', {'account': 3}, {}])
    def test_malformed_answer_is_named(self, capsys, body):
        """A malformed answer gives exit code 1."""
        with admin_server({'/v1/account': body}) as address:
            code = main(['account', f'--nodes={address}'])

        assert code == 1
        assert f'node {address} gave no usable' in capsys.readouterr().out

    def test_token_is_sent(self, tmp_path):
        """The token from the file is accepted by the admin API."""
        token_file = tmp_path / 'token'
        token_file.write_text('secret\n')
        with admin_server({'/v1/account': body_of('n1')}, 'secret') as address:
            code = main(
                ['account', f'--nodes={address}', f'--token-file={token_file}'],
            )

        assert code == 0

    def test_csv_has_a_row_for_each_cause(self, tmp_path):
        """The CSV has service, kind, importance, end, why and calls."""
        path = tmp_path / 'account.csv'
        with admin_server({'/v1/account': body_of('n1')}) as address:
            main(['account', f'--nodes={address}', f'--csv={path}'])

        assert 'balances,lookup,1,refused,overload,1' in path.read_text()

    def test_plot_is_drawn(self, tmp_path):
        """The plot is written in the format of the file extension."""
        path = tmp_path / 'account.svg'
        with admin_server({'/v1/account': body_of('n1')}) as address:
            main(['account', f'--nodes={address}', f'--plot={path}'])

        assert '<svg' in path.read_text()

    @pytest.mark.parametrize('name', ['no/such/folder.csv', 'folder'])
    def test_unwritable_file_is_named(self, capsys, tmp_path, name):
        """A CSV file that cannot be written gives exit code 1."""
        (tmp_path / 'folder').mkdir()
        path = tmp_path / name
        with admin_server({'/v1/account': body_of('n1')}) as address:
            code = main(['account', f'--nodes={address}', f'--csv={path}'])

        assert code == 1
        assert str(path) in capsys.readouterr().err

    @pytest.mark.parametrize(
        'argv',
        [
            [],
            ['--nodes=here'],
            ['--nodes=a:1', '--token-file=/nowhere'],
            ['--nodes=a:1', '--unheard_of'],
            ['--nodes-file=/nowhere'],
            ['--nodes=a:1', 'left over'],
            ['--nodes=127.0.0.1:1', '--callers=/nowhere'],
        ],
    )
    def test_wrong_flags_are_refused(self, capsys, argv):
        """An invalid flag gives exit code 2 and an error message."""
        assert main(['account', *argv]) == 2
        assert capsys.readouterr().err
