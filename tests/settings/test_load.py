"""Loading and validating the settings files of nodes and callers."""

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
    """Return a function that loads node settings from text."""

    def load(text):
        path = tmp_path / 'node.ini'
        path.write_text(text, encoding='utf-8')
        return load_node_settings(path)

    return load


class TestNodeSettings:
    """The settings file of a node."""

    @pytest.mark.parametrize('name', ['nahr-labs', 'despensa'])
    def test_examples(self, name):
        """The example files load without faults."""
        assert load_node_settings(EXAMPLES / name / 'node.ini').is_ok()

    def test_values_and_defaults(self, node_ini):
        """Keys in the file are parsed; the others have their defaults."""
        settings = node_ini(NODE).ok

        assert settings.node.name == 'payments-1'
        assert settings.target.slots == 160
        assert str(settings.listen.admin) == '127.0.0.1:8102'
        assert settings.listen.egress is None
        assert settings.calls.services == ('balances', 'tariffs', 'records')
        assert settings.limits.leave_seconds == 3

    @pytest.mark.parametrize(
        ('old', 'new', 'location', 'remedy'),
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
    def test_fault_has_location_and_remedy(
        self, node_ini, old, new, location, remedy
    ):
        """A fault names its section and key, and how to correct it."""
        found = node_ini(NODE.replace(old, new, 1)).error
        by_location = {(fault.section, fault.key): fault for fault in found}

        assert remedy in by_location[location].remedy
        assert 'node.ini' in str(by_location[location])

    def test_all_faults_are_reported(self, node_ini):
        """One load reports every fault of a file, not only the first."""
        text = NODE.replace('160', 'x').replace('1000', 'y')

        assert len(node_ini(text).error) == 2

    def test_token_allows_admin_beyond_loopback(self, node_ini):
        """With a token, the admin API may listen on any address."""
        text = NODE.replace('127.0.0.1:8102', '10.0.0.1:8102')

        assert node_ini(f'{text}\n[security]\nadmin_token_file = t').is_ok()

    def test_missing_file(self, tmp_path):
        """A missing file is reported as a single fault."""
        assert len(load_node_settings(tmp_path / 'no.ini').error) == 1

    @given(text=st.text(max_size=100))
    def test_arbitrary_text(self, text, tmp_path_factory):
        """Arbitrary text gives faults that can be formatted."""
        path = tmp_path_factory.getbasetemp() / 'arbitrary.ini'
        path.write_text(text, encoding='utf-8')

        assert all(map(str, load_node_settings(path).error))


class TestClientSettings:
    """The settings file of a caller."""

    def test_values(self, tmp_path):
        """Values are parsed, IPv6 seeds included."""
        path = tmp_path / 'client.ini'
        path.write_text(CLIENT, encoding='utf-8')
        settings = load_client_settings(path).ok

        assert settings.nodes.services == ('balances', 'payments')
        assert str(settings.nodes.seeds[1]) == '[::1]:8102'
        assert settings.client.region == 'default'

    def test_malformed_seed(self, tmp_path):
        """A seed that is not an address is reported under its key."""
        path = tmp_path / 'client.ini'
        path.write_text(CLIENT.replace('8102', 'x'), encoding='utf-8')

        found = load_client_settings(path).error

        assert [fault.key for fault in found] == ['seeds']
