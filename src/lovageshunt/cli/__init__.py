"""The ``lovageshunt`` command line for operators."""

from lovageshunt.cli._app import GROUPS, Group, main, run
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
    write_table,
)

__all__ = [
    'GROUPS',
    'Command',
    'ExitCode',
    'Group',
    'main',
    'run',
    'write_error',
    'write_json',
    'write_line',
    'write_table',
]
