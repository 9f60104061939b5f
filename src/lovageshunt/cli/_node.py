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
        'Path of the settings file of this node.',
        flag_values=values,
    )


def _run(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    settings = load_node_settings(Path(values.settings))
    if settings.is_error():
        for problem in settings.error:
            write_error(str(problem))
        return ExitCode.INVALID_INPUT
    logs = settings.ok.logs
    limit = configure_logs(logs.level.upper(), int(logs.records_per_second))
    try:
        daemon = NodeDaemon(settings.ok, lambda: limit.suppressed_total)
        return ExitCode(asyncio.run(daemon.run()))
    except SecurityFileError as error:
        write_error(str(error))
        return ExitCode.INVALID_INPUT
    except OSError as error:
        write_error(
            f'node stopped: {error}; check the files and addresses in the '
            'settings',
        )
        return ExitCode.FAILED


COMMANDS: Final = (
    Command(
        name='',
        summary='Run the node beside a target until SIGTERM or SIGINT.',
        example='--settings=examples/nahr-labs/node.ini',
        run=_run,
        define=_define,
    ),
)
