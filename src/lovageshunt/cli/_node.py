"""The command that runs the node beside a target."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from absl.flags import DEFINE_string, FlagValues

from lovageshunt.cli._command import Command, ExitCode, write_error
from lovageshunt.errors import SecurityFileError
from lovageshunt.node import NodeDaemon
from lovageshunt.observability import configure_logs
from lovageshunt.settings import load_node_settings


def _define(values: FlagValues) -> None:
    DEFINE_string(
        'settings',
        'node.ini',
        'The settings file of this node.',
        flag_values=values,
    )


def _run(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    settings = load_node_settings(Path(values.settings))
    if settings.is_error():
        for fault in settings.error:
            write_error(str(fault))
        return ExitCode.FAULTS
    logs = settings.ok.logs
    limit = configure_logs(logs.level.upper(), int(logs.records_per_second))
    try:
        daemon = NodeDaemon(settings.ok, lambda: limit.suppressed_total)
        return ExitCode(asyncio.run(daemon.run()))
    except SecurityFileError as error:
        write_error(str(error))
        return ExitCode.FAULTS
    except OSError as error:
        write_error(f'{error}; see that files and addresses are right')
        return ExitCode.FAILED


COMMANDS: Final = (
    Command(
        name='',
        summary='Run the node beside a target, until a signal stops it.',
        example='--settings=examples/nahr-labs/node.ini',
        run=_run,
        define=_define,
    ),
)
