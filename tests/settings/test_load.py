"""Settings files, checked whole."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.settings import load_client_settings, load_node_settings

EXAMPLES = Path(__file__).parents[2] / 'examples'
NODE = (EXAMPLES / 'nahr-labs' / 'node.ini').read_text(encoding='utf-8')
CLIENT = """
[client]
name = kiosk
failure_domain = lahore-a
[nodes]
seeds = 127.0.0.1:8102, [::1]:8102
services = balances, payments
"""


@pytest.fixture
def node_ini(tmp_path):
    """Return a function that loads a node's settings from a text."""

    def load(text):
        path = tmp_path / 'node.ini'
        path.write_text(text, encoding='utf-8')
        return load_node_settings(path)

    return load


class TestNodeSettings:
    """A node's file."""

    @pytest.mark.parametrize('name', ['nahr-labs', 'despensa'])
    def test_examples(self, name):
        """The example files have no faults."""
        assert load_node_settings(EXAMPLES / name / 'node.ini').is_ok()

    def test_values_and_defaults(self, node_ini):
        """Keys that are given are read and the others have their defaults."""
        settings = node_ini(NODE).ok

        assert settings.node.name == 'payments-1'
        assert settings.target.slots == 160
        assert str(settings.listen.admin) == '127.0.0.1:8102'
        assert settings.listen.egress is None
        assert settings.calls.services == ('balances', 'tariffs', 'records')
        assert settings.limits.leave_seconds == 3

    @pytest.mark.parametrize(
        ('old', 'new', 'place', 'remedy'),
        [
            ('slots', 'slot', ('target', 'slot'), "'slots'"),
            ('[target]', '[targets]', ('targets', ''), "'target'"),
            ('= 160', '= many', ('target', 'slots'), 'correct'),
            ('= 160', '= 0', ('target', 'slots'), 'correct'),
            ('name = payments-1', '', ('node', 'name'), 'add the key'),
            ('127.0.0.1:8101', 'host:80', ('listen', 'ingress'), 'correct'),
            ('127.0.0.1:8101', '127.0.0.1', ('listen', 'ingress'), 'correct'),
            ('1:8102', '1:8101', ('listen', 'admin'), 'own port'),
            ('127.0.0.1:8102', '10.0.0.1:1', ('listen', 'admin'), 'token'),
            (
                '[target]',
                'egress=10.0.0.1:1\n[target]',
                ('listen', 'egress'),
                '127',
            ),
            ('[calls]', '[logs]\nlevel = loud', ('logs', 'level'), 'correct'),
            (
                '[calls]',
                '[security]\nkey_file = k',
                ('security', 'key_file'),
                'other',
            ),
            (
                '[calls]',
                '[security]\nkey_file = k\ncertificate_file = c',
                ('security', 'certificate_file'),
                'others',
            ),
            ('slots = 160', 'slots = 1\nslots = 2', ('target', 'slots'), 'li'),
            ('[calls]', '[node]', ('node', ''), 'line'),
            ('[node]', 'node', ('', ''), 'docs/CONFIGURATION.md'),
        ],
    )
    def test_fault_is_placed(self, node_ini, old, new, place, remedy):
        """A fault names its section and key, and how to mend it."""
        found = node_ini(NODE.replace(old, new, 1)).error
        by_place = {(fault.section, fault.key): fault for fault in found}

        assert remedy in by_place[place].remedy
        assert 'node.ini' in str(by_place[place])

    def test_all_at_once(self, node_ini):
        """Every fault of a file is reported in one go."""
        text = NODE.replace('160', 'x').replace('1000', 'y')

        assert len(node_ini(text).error) == 2

    def test_token_opens_admin(self, node_ini):
        """With a token the admin API may listen beyond loopback."""
        text = NODE.replace('127.0.0.1:8102', '10.0.0.1:8102')

        assert node_ini(f'{text}\n[security]\nadmin_token_file = t').is_ok()

    def test_missing_file(self, tmp_path):
        """A file that is not there is one fault."""
        assert len(load_node_settings(tmp_path / 'no.ini').error) == 1

    @given(text=st.text(max_size=100))
    def test_noise(self, text, tmp_path_factory):
        """Arbitrary text gives faults that can be shown."""
        path = tmp_path_factory.getbasetemp() / 'noise.ini'
        path.write_text(text, encoding='utf-8')

        assert all(map(str, load_node_settings(path).error))


class TestClientSettings:
    """A caller's file."""

    def test_values(self, tmp_path):
        """The file of a caller is read, with IPv6 seeds too."""
        path = tmp_path / 'client.ini'
        path.write_text(CLIENT, encoding='utf-8')
        settings = load_client_settings(path).ok

        assert settings.nodes.services == ('balances', 'payments')
        assert str(settings.nodes.seeds[1]) == '[::1]:8102'
        assert settings.client.region == 'default'

    def test_faults(self, tmp_path):
        """A seed that is no address is refused."""
        path = tmp_path / 'client.ini'
        path.write_text(CLIENT.replace('8102', 'x'), encoding='utf-8')

        found = load_client_settings(path).error

        assert [fault.key for fault in found] == ['seeds']
