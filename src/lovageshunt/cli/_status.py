"""The commands that show a deployment at a glance, once or repeatedly."""

import sys
import time
from asyncio import run
from types import MappingProxyType
from typing import Any, Final

import orjson
from absl import flags

from lovageshunt.cli._admin_flags import (
    EXIT_FAULT,
    EXIT_OK,
    EXIT_USAGE,
    access_of,
    admin_flags,
    parse_admin_flags,
)
from lovageshunt.cli._nodes import NodeAnswer, fetch_all
from lovageshunt.cli._tables import format_table

STATUS_USAGE: Final = """\
Show the targets, limits, refusals, thresholds and rules of the nodes.

  lovageshunt status --nodes=10.0.0.1:7402,10.0.0.2:7402

Exit code 0: all nodes answered; 1: one gave no answer; 2: the flags are
wrong."""
TOP_USAGE: Final = """\
Show the status again and again.

  lovageshunt top --nodes=10.0.0.1:7402 --interval=2 --count=5

Exit code as for status, of the last showing."""

_PATH: Final = '/v1/status'
#: Column headers and the fields of the status that they show.
_FIELD_BY_HEADER: Final = MappingProxyType(
    {
        'node': 'node',
        'service': 'service',
        'state': 'state',
        'running': 'running',
        'waiting': 'waiting',
        'limit': 'limit',
        'slots': 'slots',
        'threshold': 'threshold',
        'arrived': 'arrived',
        'answered': 'answered',
        'refused': 'refused',
        'rules': 'rules_generation',
        'leaving': 'is_leaving',
    }
)


def run_status(argv: list[str]) -> int:
    """Run ``lovageshunt status`` and return its exit code."""
    return _run('status', admin_flags(), argv)


def run_top(argv: list[str]) -> int:
    """Run ``lovageshunt top`` and return its exit code."""
    values = admin_flags()
    flags.DEFINE_float(
        'interval',
        2,
        'Seconds between two showings.',
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        'count',
        0,
        'How often to show; 0 goes on until interrupted.',
        lower_bound=0,
        flag_values=values,
    )
    return _run('top', values, argv)


def _run(name: str, values: flags.FlagValues, argv: list[str]) -> int:
    try:
        parse_admin_flags(values, name, argv)
        access = access_of(values)
    except flags.Error as error:
        sys.stderr.write(f'lovageshunt {name}: {error}\n')
        return EXIT_USAGE
    is_repeated = 'interval' in values
    left = values.count if is_repeated else 1
    while True:
        answers = run(fetch_all(values.nodes, _PATH, access))
        _show(answers, is_json=values.json)
        left -= 1
        if left == 0:
            break
        time.sleep(values.interval)
    return EXIT_FAULT if any(answer.error for answer in answers) else EXIT_OK


def _show(answers: list[NodeAnswer], *, is_json: bool) -> None:
    if is_json:
        shown = orjson.dumps([_json_of(answer) for answer in answers])
        sys.stdout.write(f'{shown.decode()}\n')
        return
    bodies = [answer.body for answer in answers if answer.body is not None]
    for line in format_table(tuple(_FIELD_BY_HEADER), map(_row, bodies)):
        sys.stdout.write(f'{line}\n')
    for answer in answers:
        if answer.error:
            sys.stdout.write(f'{answer.error}\n')


def _row(body: dict[str, Any]) -> list[Any]:
    return [body.get(field, '-') for field in _FIELD_BY_HEADER.values()]


def _json_of(answer: NodeAnswer) -> dict[str, Any]:
    if answer.error:
        return {'address': answer.address, 'error': str(answer.error)}
    return {'address': answer.address, **(answer.body or {})}
