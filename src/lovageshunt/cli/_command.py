"""What every command is made of: flags, exit codes and output."""

import sys
from collections.abc import Callable, Iterable, Sequence
from enum import IntEnum
from typing import Any, Final

import orjson
from absl.flags import DEFINE_bool, FlagValues

from lovageshunt._record import Record

_COLUMN_GAP: Final = '  '


class ExitCode(IntEnum):
    """How a command ended, for the shell.

    ``FINE``: done, nothing to mend. ``FAILED``: something else than the
    input failed. ``FAULTS``: the input or the flags have faults.
    """

    FINE = 0
    FAILED = 1
    FAULTS = 2


class Command(Record):
    """One command: ``lovageshunt GROUP NAME``.

    ``name`` is empty when the group is itself the command. ``define`` adds
    the command's flags; ``run`` takes the other arguments and the parsed
    flags. Every command has ``--json`` and ``--help``.
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
        """Take every field by name."""
        self.name = name
        self.arguments = arguments
        self.summary = summary
        self.example = example
        self.define = define
        self.run = run

    def make_flags(self) -> FlagValues:
        """Return the command's own flags."""
        values = FlagValues()  # type: ignore[no-untyped-call]
        # Flags may stand before or after the other arguments.
        values.set_gnu_getopt(True)
        DEFINE_bool('help', False, 'Show this help.', flag_values=values)
        DEFINE_bool('json', False, 'JSON for programs.', flag_values=values)
        if self.define is not None:
            self.define(values)
        return values


def write_line(text: str) -> None:
    """Write a line for people."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write a line about a failure."""
    sys.stderr.write(f'{text}\n')


def write_json(content: Any) -> None:
    """Write one JSON document for programs."""
    dumped = orjson.dumps(content, option=orjson.OPT_INDENT_2)
    write_line(dumped.decode())


def write_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    """Write aligned columns for people."""
    lines = [header, *rows]
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    for line in lines:
        padded = map(str.ljust, line, widths)
        write_line(_COLUMN_GAP.join(padded).rstrip())
