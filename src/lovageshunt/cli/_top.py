"""The command that shows the status repeatedly."""

import time
from collections.abc import Sequence
from contextlib import suppress
from itertools import count
from typing import Final

from absl.flags import DEFINE_float, DEFINE_integer, FlagValues

from lovageshunt.cli._ask import define_node_flags
from lovageshunt.cli._command import Command, ExitCode
from lovageshunt.cli._status import status


def top(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Print the status ``--count`` times or until interrupted."""
    code = ExitCode.SUCCESS
    with suppress(KeyboardInterrupt):
        for shown in count(1):
            code = status(arguments, values)
            if code is ExitCode.INVALID_INPUT or shown == values.count:
                break
            time.sleep(values.get_flag_value('interval-seconds', None))
    return code


def _define(values: FlagValues) -> None:
    define_node_flags(values)
    DEFINE_float(
        'interval-seconds',
        2,
        'Seconds between two refreshes.',
        lower_bound=0.01,
        flag_values=values,
    )
    DEFINE_integer(
        'count',
        0,
        'Number of refreshes; 0 repeats until interrupted.',
        lower_bound=0,
        flag_values=values,
    )


COMMANDS: Final = (
    Command(
        name='',
        summary='Show the status repeatedly.',
        example='--nodes=127.0.0.1:8102 --interval-seconds=1 --count=2',
        define=_define,
        run=top,
    ),
)
