"""Loading and validating the settings file of a sidecar."""

from pathlib import Path

import pytest

from lovageshunt.settings import load_sidecar_settings

ROOT = Path(__file__).parents[2]
FILLED = {
    'node': 'n1',
    'service': 's1',
    'zone': 'z1',
    'region': 'r1',
    'listen.outbound': '10.0.0.1:1',
    'listen.inbound': '10.0.0.1:2',
    'listen.ready': '10.0.0.1:3',
    'internal_ports.0': '7500',
    'app_addr': '10.0.0.1:4',
    'platform.address': '10.0.0.9:5',
    'bounds.grace_s': '6',
    'bounds.retry_budget_ratio': '0.2',
    'bounds.budget_slack': '47',
    'bounds.budget_window_s': '10',
}


def filled_template() -> str:
    """Return the template with values filled in by the platform."""
    text = (ROOT / 'platform' / 'node.ini').read_text()
    for name, value in FILLED.items():
        text = text.replace('{{' + name + '}}', value)
    return text


class TestSidecarSettings:
    """The settings file of a sidecar."""

    def test_reads_the_template(self, tmp_path: Path) -> None:
        """The filled-in template is a complete settings file."""
        path = tmp_path / 'node.ini'
        path.write_text(filled_template())
        settings = load_sidecar_settings(path).ok
        assert settings.node.name == 'n1'
        assert str(settings.listen.clients) == '10.0.0.1:1'
        assert settings.listen.metrics_port == 7500
        assert settings.bounds.retry_reserve == 47
        assert settings.logs.records_per_second == 50

    def test_reads_fractions_of_bounds(self, tmp_path: Path) -> None:
        """Each bound may be a fraction, also one that counts something.

        Guards against a node that does not start under such a bound.
        """
        path = tmp_path / 'node.ini'
        text = filled_template()
        for whole in ('_seconds = 6', '_reserve = 47', '_seconds = 10'):
            text = text.replace(whole, f'{whole}.25')
        path.write_text(text)
        bounds = load_sidecar_settings(path).ok.bounds
        assert bounds.stop_seconds == 6.25
        assert bounds.retry_reserve == 47.25
        assert bounds.retry_window_seconds == 10.25

    @pytest.mark.parametrize(
        ('before', 'after', 'key'),
        [
            ('10.0.0.1:2', 'nowhere', 'nodes'),
            ('stop_seconds = 6', 'stop_seconds = soon', 'stop_seconds'),
            ('service = s1', 'servcie = s1', 'service'),
        ],
    )
    def test_fault_names_its_key(
        self,
        tmp_path: Path,
        before: str,
        after: str,
        key: str,
    ) -> None:
        """A malformed value or a missing key is reported under its key."""
        path = tmp_path / 'node.ini'
        path.write_text(filled_template().replace(before, after))
        faults = load_sidecar_settings(path).error
        assert key in {fault.key for fault in faults}
