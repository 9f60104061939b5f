"""The command that shows a deployment at a glance."""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Any, Final

from absl.flags import FlagValues
from expression import Result

from lovageshunt.cli._ask import ask_nodes, define_nodes
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
    write_table,
)
from lovageshunt.cli._nodes import NodeAnswer

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
    },
)
_NONE: Final = '-'


def status(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Show each node once; fail when one gives no answer."""
    if arguments:
        write_error('expected flags only; see --help')
        return ExitCode.FAULTS
    match ask_nodes(_PATH, values):
        case Result(tag='ok', ok=answers):
            _show(answers, values)
        case Result(error=fault):
            write_error(fault)
            return ExitCode.FAULTS
    if any(answer.error for answer in answers):
        return ExitCode.FAILED
    return ExitCode.FINE


def _show(answers: list[NodeAnswer], values: FlagValues) -> None:
    if values.json:
        write_json([_content_of(answer) for answer in answers])
        return
    bodies = [answer.body for answer in answers if not answer.error]
    write_table(tuple(_FIELD_BY_HEADER), map(_row_of, bodies))
    for answer in answers:
        if answer.error:
            write_line(str(answer.error))


def _row_of(body: dict[str, Any]) -> list[str]:
    fields = _FIELD_BY_HEADER.values()
    return [str(body.get(field, _NONE)) for field in fields]


def _content_of(answer: NodeAnswer) -> dict[str, Any]:
    if answer.error:
        return {'address': answer.address, 'error': str(answer.error)}
    return {'address': answer.address, **answer.body}


COMMANDS: Final = (
    Command(
        name='',
        summary='Show targets, limits, refusals, thresholds and rules.',
        example='--nodes=127.0.0.1:8102,127.0.0.1:8202',
        define=define_nodes,
        run=status,
    ),
)
