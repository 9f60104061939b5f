"""The boundary between ``platform/`` and the rest of the repository."""

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
#: Names used by the platform, which only the adapter may contain.
PLATFORM_NAMES = re.compile(
    'Lovageshunt-|traffic_split|rule_set|target_latency_s|cold_left_s|'
    'route_type|app_addr|LOVAGESHUNT_BOOT|op/config',
)


class TestBorder:
    """Names that must stay on one side of the boundary."""

    def test_does_not_hide_the_standard_module(self) -> None:
        """From the root, ``import platform`` finds the standard library."""
        assert platform.python_version()
        assert not (ROOT / 'platform' / '__init__.py').exists()
        code = 'import platform; print(platform.python_version())'
        completed = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        assert completed.stdout.startswith('3.')

    @pytest.mark.parametrize('path', SOURCES, ids=lambda path: path.name)
    def test_keeps_platform_names_in_the_adapter(self, path: Path) -> None:
        """No file outside the adapter contains the platform's names."""
        assert not PLATFORM_NAMES.findall(path.read_text())
