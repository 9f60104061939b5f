"""Parses the command line and dispatches to the command."""

import sys
from collections.abc import Iterable, Sequence
from importlib import import_module
from typing import Final

from absl.flags import Error as FlagsError
from absl.flags import FlagValues

from lovageshunt._record import Record
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_line,
    write_table,
)

_PROGRAM: Final = 'lovageshunt'
_HELP_ARGUMENTS: Final = frozenset(('help', '-h', '--help'))


class Group(Record):
    """Commands that share the first word ``name``.

    ``module`` defines them as ``COMMANDS``. It is imported only when one of
    them is run, so that ``rules check`` does not load the HTTP library.
    """

    __slots__ = ('name', 'module', 'summary')

    def __init__(self, *, name: str, module: str, summary: str) -> None:
        self.name = name
        self.module = module
        self.summary = summary

    def commands(self) -> tuple[Command, ...]:
        """Import the module and return its ``COMMANDS``."""
        commands: tuple[Command, ...] = import_module(self.module).COMMANDS
        return commands


#: The command groups, in the order of the help.
GROUPS: Final = (
    Group(
        name='rules',
        module='lovageshunt.cli._rules',
        summary='Check, compare and accept rules; show those in force.',
    ),
    Group(
        name='status',
        module='lovageshunt.cli._status',
        summary='Show the status of all nodes of a deployment.',
    ),
    Group(
        name='top',
        module='lovageshunt.cli._top',
        summary='Show the status of all nodes repeatedly.',
    ),
    Group(
        name='account',
        module='lovageshunt.cli._account',
        summary='Collect, balance and show the outcomes of calls.',
    ),
    Group(
        name='trace',
        module='lovageshunt.cli._trace',
        summary='Show the spans of one request.',
    ),
    Group(
        name='explain',
        module='lovageshunt.cli._explain',
        summary='Show the log lines that explain the outcome of a request.',
    ),
    Group(
        name='node',
        module='lovageshunt.cli._node',
        summary='Run the node beside a target.',
    ),
)


def main(argv: Sequence[str]) -> int:
    """Run a command line given without the program name.

    Returns the exit code; see ``ExitCode``.
    """
    if not argv or argv[0] in _HELP_ARGUMENTS:
        _show_groups()
        return ExitCode.SUCCESS if argv else ExitCode.INVALID_INPUT
    group_by_name = {group.name: group for group in GROUPS}
    group = group_by_name.get(argv[0])
    if group is None:
        return _report_unknown_command(argv[0], group_by_name)
    return _run_group(group, argv[1:])


def run() -> None:
    """Run ``sys.argv`` and exit the process with the exit code."""
    sys.exit(main(sys.argv[1:]))


def _run_group(group: Group, argv: Sequence[str]) -> int:
    by_name = {command.name: command for command in group.commands()}
    only_command = by_name.get('')
    if only_command is not None:
        return _run_command(group.name, only_command, argv)
    if not argv or argv[0] in _HELP_ARGUMENTS:
        _show_commands(group, by_name)
        return ExitCode.SUCCESS if argv else ExitCode.INVALID_INPUT
    command = by_name.get(argv[0])
    if command is None:
        return _report_unknown_command(argv[0], by_name)
    return _run_command(f'{group.name} {command.name}', command, argv[1:])


def _report_unknown_command(name: str, known: Iterable[str]) -> int:
    names = ', '.join(known)
    write_error(f'unknown command {name!r}; expected one of: {names}')
    return ExitCode.INVALID_INPUT


def _run_command(full_name: str, command: Command, argv: Sequence[str]) -> int:
    values = command.make_flags()
    try:
        arguments = values([full_name, *argv])[1:]
    except FlagsError as error:
        write_error(f'{error}; see {_PROGRAM} {full_name} --help')
        return ExitCode.INVALID_INPUT
    if values.help:
        _show_help(full_name, command, values)
        return ExitCode.SUCCESS
    return command.run(arguments, values)


def _show_groups() -> None:
    write_line(f'usage: {_PROGRAM} COMMAND ...\n')
    write_table(
        ('command', 'description'),
        [(group.name, group.summary) for group in GROUPS],
    )


def _show_commands(group: Group, by_name: dict[str, Command]) -> None:
    write_line(f'usage: {_PROGRAM} {group.name} COMMAND ...\n')
    write_table(
        ('command', 'description'),
        [(command.name, command.summary) for command in by_name.values()],
    )


def _show_help(
    full_name: str,
    command: Command,
    values: FlagValues,
) -> None:
    write_line(f'{command.summary}\n')
    write_line(f'usage: {_PROGRAM} {full_name} {command.arguments} [FLAGS]')
    write_line(f'example: {_PROGRAM} {full_name} {command.example}\n')
    write_table(
        ('flag', 'default', 'meaning'),
        [_flag_row(values, name) for name in values],
    )
    write_line('\nexit codes: 0 success, 1 failure, 2 invalid input or flags')


def _flag_row(values: FlagValues, name: str) -> tuple[str, str, str]:
    flag = values[name]
    default = flag.default_as_str or ''
    return (f'--{name}', default.strip("'"), flag.help or '')
