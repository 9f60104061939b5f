"""The folder ``platform/`` and the rest of the repository."""

import platform
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SOURCES = [
    *(ROOT / 'src').rglob('*.py'),
    *(ROOT / 'standins').rglob('*.py'),
]
#: Names of the wire that only the adapter may know.
WIRE = re.compile(
    'Lovageshunt-|traffic_split|rule_set|target_latency_s|cold_left_s|'
    'route_type|app_addr|LOVAGESHUNT_BOOT|op/config',
)


class TestBorder:
    """What stays on which side."""

    def test_does_not_hide_the_standard_module(self) -> None:
        """From the root, ``import platform`` finds the standard library."""
        assert platform.python_version()
        assert not (ROOT / 'platform' / '__init__.py').exists()
        code = 'import platform; print(platform.python_version())'
        done = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        assert done.stdout.startswith('3.')

    @pytest.mark.parametrize('path', SOURCES, ids=lambda path: path.name)
    def test_keeps_the_wire_s_names_outside(self, path: Path) -> None:
        """Nothing outside the adapter knows the platform's names."""
        assert not WIRE.findall(path.read_text())
