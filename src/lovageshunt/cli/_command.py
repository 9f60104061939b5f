"""Command definitions, exit codes and output functions."""

import sys
from collections.abc import Callable, Iterable, Sequence
from enum import IntEnum
from typing import Any, Final

import orjson
from absl.flags import DEFINE_bool, FlagValues

from lovageshunt._record import Record

_COLUMN_GAP: Final = '  '


class ExitCode(IntEnum):
    """Exit codes of the commands.

    ``SUCCESS``: done, no problem found. ``FAILED``: the command failed or found
    a problem, with valid input. ``INVALID_INPUT``: the input or the flags are
    invalid.
    """

    SUCCESS = 0
    FAILED = 1
    INVALID_INPUT = 2


class Command(Record):
    """One command: ``lovageshunt GROUP NAME``.

    ``name`` is empty when the group has only this command. ``define`` adds
    the command's flags; ``run`` receives the positional arguments and the
    parsed flags. Every command has ``--json`` and ``--help``.
    """

    __slots__ = ('name', 'arguments', 'summary', 'example', 'define', 'run')

    def __init__(
        self,
        *,
        name: str,
        summary: str,
        example: str,
        run: Callable[[Sequence[str], FlagValues], ExitCode],
        arguments: str = '',
        define: Callable[[FlagValues], None] | None = None,
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.summary = summary
        self.example = example
        self.define = define
        self.run = run

    def make_flags(self) -> FlagValues:
        """Return new flag values with the common and the own flags."""
        values = FlagValues()  # type: ignore[no-untyped-call]
        # Allows flags after positional arguments too.
        values.set_gnu_getopt(True)
        DEFINE_bool('help', False, 'Show this help.', flag_values=values)
        DEFINE_bool('json', False, 'Print JSON.', flag_values=values)
        if self.define is not None:
            self.define(values)
        return values


def write_line(text: str) -> None:
    """Write a line of text to standard output."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write a line of text to standard error."""
    sys.stderr.write(f'{text}\n')


def write_json(content: Any) -> None:
    """Write one indented JSON document to standard output."""
    dumped = orjson.dumps(content, option=orjson.OPT_INDENT_2)
    write_line(dumped.decode())


def write_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    """Write a header and rows to standard output in aligned columns."""
    lines = [header, *rows]
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    for line in lines:
        padded = map(str.ljust, line, widths)
        write_line(_COLUMN_GAP.join(padded).rstrip())
