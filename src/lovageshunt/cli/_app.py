"""Finds the command that a command line names, and runs it."""

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
_HELP_WORDS: Final = frozenset(('help', '-h', '--help'))


class Group(Record):
    """Commands that share their first word.

    ``module`` has them in its ``COMMANDS``; it is imported only when one of
    them is called, so that a check of a sheet loads no HTTP library.
    """

    __slots__ = ('name', 'module', 'summary')

    def __init__(self, *, name: str, module: str, summary: str) -> None:
        """Take every field by name."""
        self.name = name
        self.module = module
        self.summary = summary

    def commands(self) -> tuple[Command, ...]:
        """Import and return the group's commands."""
        commands: tuple[Command, ...] = import_module(self.module).COMMANDS
        return commands


#: Every first word of a command line.
GROUPS: Final = (
    Group(
        name='rules',
        module='lovageshunt.cli._rules',
        summary='Check, compare and accept rules; see which are in force.',
    ),
    Group(
        name='status',
        module='lovageshunt.cli._status',
        summary='Show a deployment at a glance.',
    ),
    Group(
        name='top',
        module='lovageshunt.cli._top',
        summary='Show a deployment at a glance, again and again.',
    ),
    Group(
        name='account',
        module='lovageshunt.cli._account',
        summary='Collect, balance and show what became of calls.',
    ),
    Group(
        name='trace',
        module='lovageshunt.cli._trace',
        summary='Show the spans of one request.',
    ),
    Group(
        name='explain',
        module='lovageshunt.cli._explain',
        summary='Tell from collected logs what became of a request.',
    ),
    Group(
        name='node',
        module='lovageshunt.cli._node',
        summary='Run the node beside a target.',
    ),
)


def main(argv: Sequence[str]) -> int:
    """Run one command line, without the program's name."""
    if not argv or argv[0] in _HELP_WORDS:
        _show_groups()
        return ExitCode.FINE if argv else ExitCode.FAULTS
    group_by_name = {group.name: group for group in GROUPS}
    group = group_by_name.get(argv[0])
    if group is None:
        return _refuse_word(argv[0], group_by_name)
    return _run_group(group, argv[1:])


def run() -> None:
    """Run the process's own command line, and exit."""
    sys.exit(main(sys.argv[1:]))


def _run_group(group: Group, argv: Sequence[str]) -> int:
    by_name = {command.name: command for command in group.commands()}
    lone = by_name.get('')
    if lone is not None:
        return _run_command(group.name, lone, argv)
    if not argv or argv[0] in _HELP_WORDS:
        _show_commands(group, by_name)
        return ExitCode.FINE if argv else ExitCode.FAULTS
    command = by_name.get(argv[0])
    if command is None:
        return _refuse_word(argv[0], by_name)
    return _run_command(f'{group.name} {command.name}', command, argv[1:])


def _refuse_word(word: str, known: Iterable[str]) -> int:
    names = ', '.join(known)
    write_error(f'unknown command {word!r}, expected one of {names}')
    return ExitCode.FAULTS


def _run_command(words: str, command: Command, argv: Sequence[str]) -> int:
    values = command.make_flags()
    try:
        arguments = values([words, *argv])[1:]
    except FlagsError as error:
        write_error(f'{error}; see {_PROGRAM} {words} --help')
        return ExitCode.FAULTS
    if values.help:
        _show_help(words, command, values)
        return ExitCode.FINE
    return command.run(arguments, values)


def _show_groups() -> None:
    write_line(f'usage: {_PROGRAM} COMMAND ...\n')
    write_table(
        ('command', 'what it does'),
        [(group.name, group.summary) for group in GROUPS],
    )


def _show_commands(group: Group, by_name: dict[str, Command]) -> None:
    write_line(f'usage: {_PROGRAM} {group.name} COMMAND ...\n')
    write_table(
        ('command', 'what it does'),
        [(command.name, command.summary) for command in by_name.values()],
    )


def _show_help(words: str, command: Command, values: FlagValues) -> None:
    write_line(f'{command.summary}\n')
    write_line(f'usage: {_PROGRAM} {words} {command.arguments} [FLAGS]')
    write_line(f'example: {_PROGRAM} {words} {command.example}\n')
    write_table(
        ('flag', 'default', 'meaning'),
        [_flag_row(values, name) for name in values],
    )
    write_line('\nexit codes: 0 fine, 1 failed, 2 faults in the input')


def _flag_row(values: FlagValues, name: str) -> tuple[str, str, str]:
    flag = values[name]
    default = flag.default_as_str or ''
    return (f'--{name}', default.strip("'"), flag.help or '')
